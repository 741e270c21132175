"""Threads that send calls chosen from a seed and record each answer."""

import dataclasses
import http.client
import json
import random
import threading
import time

import answers

CALL_TIMEOUT_S = 20
TEAM, SERVICE = "alder", "booking"
MAX_CRASH_SENDS = 8  # Twice the usual upper bound of crashes.


@dataclasses.dataclass
class Record:
    """One call as its caller saw it. Times are seconds of the monotonic clock."""

    kind: str  # generation, crash, get, offer, issue or operation
    entry: str
    marker: str
    begin: float
    end: float = 0.0
    status: int = 0
    body: str = ""
    whole: bool = False  # The HTTP answer arrived completely.
    failure: str = ""  # Connection or parse error.
    outcome: str = ""  # "outcome" of the error object; empty without one.
    code: str = ""  # "code" of the error object.
    operation: str = ""  # Operation id.
    models: tuple = ()  # Models of which any may answer.
    prompt: str = ""
    tokens: int = 0
    streamed: bool = False
    text: str = ""
    answered_models: frozenset = frozenset()
    done: bool = False
    has_error_event: bool = False

    # Returns the fields that are set as a dict, with texts shortened.
    def summary(self):
        fields = dataclasses.asdict(self)
        fields.pop("answered_models")
        fields["body"] = self.body[:300]
        fields["text"] = self.text[:120]
        return {k: v for k, v in fields.items() if v not in ("", (), 0, False)}


def random_timeout_header(rng):
    """Returns a header with a short timeout for one call in five, else none.

    Makes deadlines expire while calls are in progress.
    """
    if rng.random() < 0.2:
        return {"X-Request-Timeout-Ms": str(rng.choice([10, 30, 150, 600]))}
    return {}


class Client:
    """Sends calls to entries and keeps every record.

    Thread safety: `pick` and `send` may be called from any thread.
    """

    def __init__(self, entries):
        # Instance name to HTTP address of the entries that a load balancer would
        # use at present.
        self.entries = entries
        self.records = []
        self._lock = threading.Lock()

    # Returns the name of an entry, if possible one that is not in `avoid`, or None
    # if no entry is in use.
    def pick(self, rng, avoid=()):
        names = sorted(self.entries)
        left = [n for n in names if n not in avoid] or names
        return rng.choice(left) if left else None

    # Sends a call to `record.entry`, completes the record and returns it.
    #
    # Returns None without sending if the entry isn't in use.
    def send(self, record, method, path, body=None, headers=None):
        address = self.entries.get(record.entry)
        if address is None:
            return None
        record.begin = time.monotonic()
        self._exchange(record, address, method, path, body, headers or {})
        record.end = time.monotonic()
        self._interpret(record)
        with self._lock:
            self.records.append(record)
        return record

    @staticmethod
    def _exchange(record, address, method, path, body, headers):
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
        data = bytearray()
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            record.status = response.status
            record.operation = record.operation or response.getheader(
                "Idempotency-Key", ""
            )
            while piece := response.read1(65536):
                data += piece
            record.whole = not response.length
        except (OSError, http.client.HTTPException) as error:
            record.failure = f"{type(error).__name__}: {error}"
        finally:
            connection.close()
        record.body = data.decode(errors="replace")

    @staticmethod
    def _interpret(record):
        error = None
        try:
            if record.streamed and record.status == 200:
                record.text, models, record.done, error = answers.read_stream(
                    record.body
                )
                record.answered_models = frozenset(models)
                record.has_error_event = error is not None
            elif record.whole and record.status == 200 and record.tokens:
                record.text, models = answers.read_whole(record.body)
                record.answered_models = frozenset(models)
            elif record.whole and record.status >= 400:
                error = json.loads(record.body).get("error")
        except (ValueError, KeyError, IndexError) as problem:
            record.failure = f"unreadable answer: {problem!r}"
        if error:
            record.outcome = error.get("outcome", "")
            record.code = error.get("code", "")


class Caller:
    """A thread that makes one call after the other until `stop` is set.

    Random choices of action N depend only on the seed, `number` and N.
    """

    def __init__(self, client, seed, number, stop, crashes_left):
        self._client = client
        self._seed = seed
        self._number = number
        self._stop = stop
        self._kept = []  # (operation id, marker) to be sent later.
        self._crashes_left = crashes_left
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.actions = 0
        self.problem = None

    def start(self):
        self._thread.start()

    # Returns whether the thread ended within `limit_s` seconds.
    def join(self, limit_s):
        self._thread.join(limit_s)
        return not self._thread.is_alive()

    def _run(self):
        try:
            while not self._stop.is_set():
                rng = random.Random(f"{self._seed}/{self._number}/{self.actions}")
                self._act(rng)
                self.actions += 1
                self._stop.wait(rng.uniform(0, 0.03))
        except Exception as error:  # Reported by the run as a violation.
            self.problem = repr(error)

    def _act(self, rng):
        marker = f"m{self._number}x{self.actions}z"
        actions = [
            (45, self._generate),
            (15, self._get),
            (30, self._issue_and_send),
            (8, self._use_kept),
            (2, self._crash),
        ]
        weights = [weight for weight, _ in actions]
        (action,) = rng.choices([a for _, a in actions], weights)
        action(rng, marker)

    def _generate(self, rng, marker):
        adapter = rng.choice(["oak", "elm", "yew", "fir"])
        team = rng.choice([TEAM, TEAM, "birch"])
        version = rng.choice([1, 2])
        by_alias = rng.random() < 0.3
        name = f"{team}/{adapter}-main" if by_alias else f"{team}/{adapter}@{version}"
        versions = (1, 2) if by_alias else (version,)
        tokens = rng.choice([4, 12, 40, 40, 120, 300])
        prompt = f"{marker} " + "x" * rng.randrange(0, 120)
        self._send_generation(
            rng,
            Record(
                "generation",
                "",
                marker,
                0.0,
                models=tuple(f"{team}/{adapter}@{v}" for v in versions),
                prompt=prompt,
                tokens=tokens,
                streamed=rng.random() < 0.6,
            ),
            name,
            rng.choice(["counter", "report"]),
        )

    def _send_generation(self, rng, record, name, kind, avoid=()):
        record.entry = self._client.pick(rng, avoid) or ""
        body = {"model": name, "max_tokens": record.tokens}
        body["stream"] = record.streamed
        path = "/v1/completions"
        prompt = record.prompt
        if rng.random() < 0.4:
            path = "/v1/chat/completions"
            body["messages"] = [{"role": "user", "content": prompt}]
            record.prompt = prompt + "\n"
        else:
            body["prompt"] = prompt
        headers = {"X-Request-Kind": kind, "Content-Type": "application/json"}
        headers.update(random_timeout_header(rng))
        return self._client.send(record, "POST", path, json.dumps(body), headers)

    def _crash(self, rng, marker):
        """Sends a request that crashes engines up to MAX_CRASH_SENDS times.

        Each attempt uses another entry than the one before, if possible. Stops
        when an entry answers "crashes_server".
        """
        if self._crashes_left <= 0:
            return
        self._crashes_left -= 1
        prompt = f"CRASH {marker}"
        used = []
        for _ in range(MAX_CRASH_SENDS):
            record = Record(
                "crash", "", marker, 0.0, models=(f"{TEAM}/oak@1",), tokens=8
            )
            record.prompt = prompt
            record.entry = self._client.pick(rng, used[-1:]) or ""
            body = {"model": f"{TEAM}/oak@1", "max_tokens": 8, "prompt": prompt}
            sent = self._client.send(
                record,
                "POST",
                "/v1/completions",
                json.dumps(body),
                {"X-Request-Kind": "counter"},
            )
            used.append(record.entry)
            if sent is None or record.code == "crashes_server":
                return
            self._stop.wait(rng.uniform(0, 0.2))

    def _get(self, rng, marker):
        record = Record("get", self._client.pick(rng) or "", marker, 0.0)
        path = f"/s/{TEAM}/{SERVICE}/stock/{marker}"
        self._client.send(record, "GET", path, None, random_timeout_header(rng))

    def _issue(self, rng, marker):
        entry = self._client.pick(rng) or ""
        if rng.random() < 0.3:
            record = Record("offer", entry, marker, 0.0)
            path = f"/s/{TEAM}/{SERVICE}/orders/offer-{marker}"
            sent = self._client.send(record, "POST", path, "{}")
            return sent.operation if sent else ""
        record = Record("issue", entry, marker, 0.0)
        body = json.dumps({"team": TEAM, "service": SERVICE})
        sent = self._client.send(record, "POST", "/v1/operations", body)
        if sent is None or sent.status != 200 or not sent.whole:
            return ""
        record.operation = json.loads(sent.body)["operation_id"]
        return record.operation

    def _send_operation(self, rng, operation, marker, avoid=()):
        entry = self._client.pick(rng, avoid) or ""
        record = Record("operation", entry, marker, 0.0, operation=operation)
        headers = {"Idempotency-Key": operation, "Content-Type": "application/json"}
        headers.update(random_timeout_header(rng))
        path = f"/s/{TEAM}/{SERVICE}/orders/{marker}"
        self._client.send(record, "POST", path, json.dumps({"m": marker}), headers)
        return record

    def _issue_and_send(self, rng, marker):
        operation = self._issue(rng, marker)
        if not operation:
            return
        pattern = rng.choice(["once", "again", "both", "keep", "keep_used"])
        if pattern == "keep":
            self._kept.append((operation, marker))
            return
        if pattern == "both":
            rngs = [random.Random(rng.random()) for _ in range(2)]
            threads = [
                threading.Thread(
                    target=self._send_operation, args=(c, operation, marker)
                )
                for c in rngs
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(CALL_TIMEOUT_S + 5)
        record = self._send_operation(rng, operation, marker)
        sends = 1
        # Retries after an error; pattern "again" sends it once more after that.
        while sends < 4 and (record.status != 200 or not record.whole):
            record = self._send_operation(rng, operation, marker, [record.entry])
            sends += 1
        if pattern == "again":
            self._send_operation(rng, operation, marker, [record.entry])
        if pattern == "keep_used" or record.status != 200:
            self._kept.append((operation, marker))

    def _use_kept(self, rng, marker):
        del marker
        if self._kept:
            index = rng.randrange(len(self._kept))
            operation, first_marker = self._kept[index]
            self._send_operation(rng, operation, first_marker)

    def send_kept_again(self):
        """Sends the last 40 kept operations again, at the end of a run."""
        rng = random.Random(f"{self._seed}/{self._number}/kept")
        for operation, marker in self._kept[-40:]:
            self._send_operation(rng, operation, marker)
