"""Runs requests through a small deployment and checks every response.

usage: demo.py [BUILD-FOLDER]

Three entries, two engines and two booking servers run as separate processes on
loopback. Exits with 1 if a check failed.
"""

import json
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile

import fleet as fleets

TEAM = "vratovrazka"
STREAMED_TOKENS = 12
WHOLE_TOKENS = 40
CHANGE_LIMIT_S = 4

DOCUMENT = """[service]
team = vratovrazka
base_model = base-1
objective = stalls
[kind counter]
urgency = urgent
deadline_ms = 10000
[kind report]
urgency = patient
deadline_ms = 60000
[adapter silk-care]
versions = 3, 4
aliases = silk={silk}
[plain booking]
never_repeat = POST /orders
"""

TOKEN = re.compile(r"(w[0-9a-f]+-)(\d+) ")


class CheckFailed(Exception):
    """A response or an exit code is not the expected one."""


def check(condition, what):
    if not condition:
        raise CheckFailed(what)


def step(text):
    print(f"\n== {text}", flush=True)


def check_text(text, tokens):
    """Checks that `text` consists of tokens 0 to `tokens` - 1 of one answer."""
    parts = TOKEN.findall(text)
    check("".join(f"{a}{b} " for a, b in parts) == text, f"bad text {text!r}")
    check([int(b) for _, b in parts] == list(range(tokens)), "token numbers")
    check(len({a for a, _ in parts}) == 1, "tokens of two generations")


def complete(entry, model, prompt, tokens, kind, stream):
    body = {
        "model": f"{TEAM}/{model}",
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    }
    return fleets.request(
        entry.http, "POST", "/v1/completions", body, {"X-Request-Kind": kind}
    )


def streamed_text(answer, model):
    """Returns the text of a streamed response.

    Checks its status, its model name and its final marker.
    """
    check(answer.status == 200 and answer.whole, f"stream: {answer}")
    events = answer.body.decode().split("\n\n")
    check(events[-2:] == ["data: [DONE]", ""], "the stream has no final marker")
    chunks = [json.loads(e.removeprefix("data: ")) for e in events[:-2]]
    check({c["model"] for c in chunks} == {f"{TEAM}/{model}"}, "wrong model")
    return "".join(c["choices"][0]["text"] for c in chunks)


def whole_text(answer, model):
    check(answer.status == 200 and answer.whole, f"response: {answer}")
    body = answer.json()
    check(body["model"] == f"{TEAM}/{model}", f"wrong model: {body['model']}")
    return body["choices"][0]["text"]


def start(fleet):
    step("Starting stand-ins, three entries and four sidecars")
    fleet.start_platform()
    fleet.start_store()
    options = ["--store", fleet.store, "--base-model", "base-1"]
    _, engines = fleet.standin("engine", "engines", 2, options)
    _, servers = fleet.standin("plain", "booking", 2)
    fleet.put_document(TEAM, DOCUMENT.format(silk=4))
    for number, engine in enumerate(engines, 1):
        fleet.add_engine_sidecar(f"engine-{number}", engine, engines=2)
    for number, server in enumerate(servers, 1):
        fleet.add_plain_sidecar(f"booking-{number}", server, TEAM, "booking")
    entries = [fleet.add_entry(f"entry-{number}") for number in (1, 2, 3)]
    fleet.wait_ready()
    for node in fleet.nodes.values():
        print(f"{node.instance}: admin {node.admin} {node.http or ''}".rstrip())
    return entries, servers


def show_urgent(entry):
    step(f"Urgent request, streamed, through {entry.instance}")
    answer = complete(
        entry, "silk", "How do I wash silk?", STREAMED_TOKENS, "counter", True
    )
    text = streamed_text(answer, "silk-care@4")
    check_text(text, STREAMED_TOKENS)
    print(f"silk is silk-care@4: {text}")
    return answer.headers["x-request-id"], text


def show_patient(entry):
    step(f"Patient request through {entry.instance}")
    answer = complete(
        entry, "silk-care@3", "A long report", WHOLE_TOKENS, "report", False
    )
    text = whole_text(answer, "silk-care@3")
    check_text(text, WHOLE_TOKENS)
    print(f"{len(text)} bytes: {text[:60]}...")


def executions(servers):
    pages = [fleets.request(s, "GET", "/_executions").json() for s in servers]
    return sum(page["total"] for page in pages)


def show_booking(entries, servers):
    step("A booking, which must never run twice")
    path, order = f"/s/{TEAM}/booking/orders", {"item": "scarf", "count": 1}
    answer = fleets.request(entries[0].http, "POST", path, order)
    error = answer.json()["error"]
    check(
        answer.status == 428 and error["outcome"] == "not_run", f"{answer.body}"
    )
    check(executions(servers) == 0, "a call without an operation id ran")
    key = {"Idempotency-Key": answer.headers["idempotency-key"]}
    print(f"without an operation id: {answer.status} {error['code']}")
    first = fleets.request(entries[1].http, "POST", path, order, key)
    check(first.status == 200, f"the booking failed: {first}")
    print(f"with it: {first.status} {first.body.decode()}")
    again = fleets.request(entries[2].http, "POST", path, order, key)
    check(again.body == first.body, "the repeated call has another response")
    check(executions(servers) == 1, "the booking ran twice")
    print("sent again through another entry: same response, ran once")


def show_explain(build, entry, request_id):
    step(f"amaranthctl explain {entry.admin} {request_id}")
    done = subprocess.run(
        [build / "bin" / "amaranthctl", "explain", entry.admin, request_id],
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    print(done.stdout + done.stderr, end="")
    check(done.returncode == 0, f"amaranthctl exit code {done.returncode}")
    record = json.loads(done.stdout)
    events = [event["event"] for event in record["events"]]
    check(record["request_id"] == request_id, "record of another request")
    check("chosen" in events and "answer_end" in events, f"events {events}")


def show_document(fleet, entries, old_text):
    step("Service document changed: alias silk moves from version 4 to 3")
    fleet.put_document(TEAM, DOCUMENT.format(silk=3))

    def version(entry):
        answer = complete(entry, "silk", "x", 1, "counter", False)
        check(answer.status == 200, f"{entry.instance}: {answer}")
        return answer.json()["model"]

    for entry in entries:
        fleet.wait_until(
            lambda: version(entry) == f"{TEAM}/silk-care@3",
            f"{entry.instance} uses the new document",
            CHANGE_LIMIT_S,
        )
        print(f"{entry.instance}: silk is silk-care@3")
    answer = complete(
        entries[0], "silk", "How do I wash silk?", STREAMED_TOKENS, "counter", True
    )
    text = streamed_text(answer, "silk-care@3")
    check_text(text, STREAMED_TOKENS)
    check(text != old_text, "the response is that of the old version")

    step("An invalid document is refused and changes nothing")
    fleet.put_document(TEAM, DOCUMENT.format(silk=9))

    def errors(entry):
        return entry.dump()["documents"][TEAM]["errors"]

    for entry in entries:
        fleet.wait_until(
            lambda: errors(entry),
            f"{entry.instance} reports the refused document",
            CHANGE_LIMIT_S,
        )
        check(version(entry) == f"{TEAM}/silk-care@3", "document lost")
    print(errors(entries[0])[0].strip())


def stop(fleet):
    step("Graceful shutdown of all processes")
    bad = fleet.stop_gracefully()
    check(not bad, f"exit codes {bad}")
    print("every process finished its work and exited with 0")


def main():
    # scripts/demo sends SIGTERM at its time limit. The exception makes `Fleet`
    # stop its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("demo failed: too slow"))
    build = pathlib.Path(
        sys.argv[1] if len(sys.argv) > 1 else fleets.default_build()
    )
    folder = pathlib.Path(tempfile.mkdtemp(prefix="amaranthcove-demo-"))
    try:
        with fleets.Fleet(build, folder) as fleet:
            entries, servers = start(fleet)
            request_id, text = show_urgent(entries[0])
            show_patient(entries[1])
            show_booking(entries, servers)
            show_explain(build, entries[0], request_id)
            show_document(fleet, entries, text)
            stop(fleet)
    except (CheckFailed, RuntimeError, OSError, ValueError, KeyError) as error:
        print(f"demo failed: {type(error).__name__}: {error}", file=sys.stderr)
        print(f"logs of the processes: {folder}", file=sys.stderr)
        return 1
    shutil.rmtree(folder)
    print("\ndemo passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
