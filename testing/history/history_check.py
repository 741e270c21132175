"""Checks histories of concurrent runs of the real programs under faults.

usage: history_check.py --seed N --minutes M [--runs R] [--build DIR]
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / "tools")]

import callers  # noqa: E402
import checkers  # noqa: E402
import faults  # noqa: E402
import fleet as fleet_module  # noqa: E402
import relay as relay_module  # noqa: E402

CALLERS = 10
CRASHES_PER_CALLER = 1
POLL_S = 0.25
IDLE_LIMIT_S = 75  # An operation may run for 60 s.
GRACE_S = 2.0
CONVERGENCE_LIMIT_S = 15
MAX_PRINTED_EVENTS = 12
ADAPTERS = ("oak", "elm", "yew", "fir")
BAD_LOG_LINES = ("Sanitizer", "runtime error", "terminate called", "Assertion")


def document(team, variant, bad=False):
    lines = ["[service]", f"team = {team}", "base_model = base-1"]
    lines += [f"objective = {('stalls', 'batch_efficiency')[variant % 2]}"]
    lines += ["[kind counter]", "urgency = urgent", "deadline_ms = 4000"]
    lines += ["[kind report]", "urgency = patient", "deadline_ms = 8000"]
    for index, adapter in enumerate(ADAPTERS):
        lines += [f"[adapter {adapter}]", "versions = 1, 2"]
        lines += [f"aliases = {adapter}-main={1 + (variant >> index) % 2}"]
    if team == callers.TEAM:
        lines += [f"[plain {callers.SERVICE}]", "never_repeat = POST /orders"]
    if bad:
        lines += ["[adapter ash]", "versions = none", "colour = red"]
    return "\n".join(lines) + "\n"


@dataclasses.dataclass
class Slot:
    """A backend server, the relay in front of it and its current sidecar."""

    name: str
    kind: str
    address: str
    backend_relay: relay_module.Relay
    node: fleet_module.Node = None
    incarnation: int = 0
    replacements: int = 0

    @property
    def plain_address(self):
        return self.address if self.kind == "plain" else ""


class RelayedFleet(fleet_module.Fleet):
    """Lists each node at the platform under the address of a relay.

    Entries therefore reach all nodes through relays, which inject faults.
    """

    def __init__(self, build, folder, relays):
        super().__init__(build, folder)
        self.relays = relays
        self.peer_relays = {}

    def put_instance(self, node, state="live"):
        relay = self.peer_relays.get(node.instance)
        if relay is None:
            relay = self.peer_relays[node.instance] = self.relays.add(node.peer)
        relay.target = node.peer
        super().put_instance(dataclasses.replace(node, peer=relay.address), state)


class Cluster:
    """The processes and relays of one run, with operations on them.

    Thread safety: a mutex serialises restarting, replacing and listing nodes,
    because faults run on several threads.
    """

    def __init__(self, build, folder):
        self.relays = relay_module.Relays()
        self.fleet = RelayedFleet(build, folder, self.relays)
        self.entries = []
        self.slots = []
        self.client = None
        self.ended_boots = set()
        self._mutex = threading.Lock()

    def start(self):
        fleet = self.fleet
        fleet.start_platform()
        fleet.start_store(["--loads-per-s", "40", "--burst", "8", "--load-ms", "40"])
        options = ["--batch-size", "4", "--slots", "3", "--step-us", "5000"]
        options += ["--restart-ms", "200", "--store", fleet.store]
        _, engines = fleet.standin("engine", "engines", 3, options)
        _, plains = fleet.standin("plain", "plains", 3, ["--delay-ms", "5"])
        self.put_document("alder", 0)
        self.put_document("birch", 0)
        for i, address in enumerate(engines):
            self._add_slot(f"model-{i}", "engine", address)
        for i, address in enumerate(plains):
            self._add_slot(f"booking-{i}", "plain", address)
        self.entries = [fleet.add_entry(f"entry-{i}", drain_ms=400) for i in range(3)]
        fleet.wait_ready()
        self.client = callers.Client({n.instance: n.http for n in self.entries})

    def _add_slot(self, name, kind, address):
        slot = Slot(name, kind, address, self.relays.add(address))
        self._start_sidecar(slot, name)
        self.slots.append(slot)

    def _start_sidecar(self, slot, name):
        backend = slot.backend_relay.address
        if slot.kind == "engine":
            slot.node = self.fleet.add_engine_sidecar(
                name, backend, engines=3, store_loads_per_s=40.0
            )
        else:
            slot.node = self.fleet.add_plain_sidecar(
                name, backend, callers.TEAM, callers.SERVICE
            )
        slot.incarnation = slot.node.dump()["incarnation"]

    def restart_sidecar(self, slot):
        with self._mutex:
            self.fleet.restart(slot.node)
            slot.incarnation = slot.node.dump()["incarnation"]

    def start_replacement(self, slot):
        with self._mutex:
            slot.replacements += 1
            self._start_sidecar(slot, f"{slot.name}-r{slot.replacements}")

    def retire(self, node, slot):
        assert slot.node is not node
        with self._mutex:
            self.fleet.put_instance(node, "gone")
            self.fleet.nodes.pop(node.instance)

    def kill_entry(self, index, hold):
        node = self.entries[index]
        node.process.kill()
        hold()
        self.restart_entry(index)

    def restart_entry(self, index):
        with self._mutex:
            node = self.fleet.restart(self.entries[index])
        self.poll(lambda: self.ready(node), 10)
        self.client.entries[node.instance] = node.http

    def announce_all(self):
        """Lists all nodes at the platform again, under their relays' addresses.

        A node's "hello" frame carries its own address, which entries would
        otherwise keep using, past the relay.
        """
        with self._mutex:
            for node in list(self.fleet.nodes.values()):
                self.fleet.put_instance(node)

    def peer_relay(self, index):
        nodes = [s.node for s in self.slots] + self.entries
        return self.fleet.peer_relays[nodes[index].instance]

    def control_engine(self, index, command):
        address = self.slots[index].address
        if command.get("restart"):
            stats = fleet_module.request(address, "GET", "/_stats").json()
            self.ended_boots.add(stats["boot_id"])
        self.fleet.control(address, command)

    def control_plain(self, index, command):
        self.fleet.control(self.slots[3 + index].address, command)

    def control_platform(self, command):
        self.fleet.control(self.fleet.platform, command)

    def put_document(self, team, variant, bad=False):
        self.fleet.put_document(team, document(team, variant, bad))

    # State of the nodes and stand-ins.

    # Returns whether `condition()` became true within `limit_s` seconds.
    @staticmethod
    def poll(condition, limit_s):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() >= end:
                return False
            time.sleep(0.05)
        return True

    @staticmethod
    def ready(node):
        try:
            answer = fleet_module.request(node.admin, "GET", "/readyz", timeout_s=1)
            return answer.status == 200
        except OSError:
            return False

    # Returns the node's /dump, or None if it doesn't answer in 1 s.
    @staticmethod
    def dump(node):
        try:
            return fleet_module.request(node.admin, "GET", "/dump", timeout_s=1).json()
        except (OSError, ValueError):
            return None

    def reports_leaving(self, node):
        dump = self.dump(node)
        return bool(dump and dump["leaving"])

    def nodes(self):
        return list(self.fleet.nodes.values())

    def unsettled(self):
        """Returns names of nodes that aren't ready or listed as they should be.

        "ENTRY:SIDECAR" stands for an entry that doesn't list a sidecar as live.
        """
        missing = [n.instance for n in self.nodes() if not self.ready(n)]
        sidecars = [s.node.instance for s in self.slots]
        for entry in self.entries:
            dump = self.dump(entry)
            known = dump["instances"] if dump else {}
            for name in sidecars:
                if not known.get(name, {}).get("live"):
                    missing.append(f"{entry.instance}:{name}")
        return missing

    def summaries_of(self, names):
        """Returns diagnostic fields of the dumps of the named nodes."""
        summaries = []
        for node in self.nodes():
            if node.instance in names:
                dump = self.dump(node) or {}
                backend = dump.get("backend", {})
                keys = ("boot_id", "superseded", "running", "slots", "counters")
                summaries.append(
                    {
                        "instance": node.instance,
                        "leaving": dump.get("leaving"),
                        "answers": dump.get("answers"),
                        **{k: backend[k] for k in keys if k in backend},
                    }
                )
        return summaries

    def settled(self):
        return not self.unsettled()

    def end_silent_connections(self):
        for relay in list(self.fleet.peer_relays.values()):
            relay.end_silent()
        for slot in self.slots:
            slot.backend_relay.end_silent()

    def undo_faults(self):
        for relay in list(self.fleet.peer_relays.values()):
            relay.restore()
            relay.cut()
        for slot in self.slots:
            slot.backend_relay.restore()
            slot.backend_relay.cut()
        self.control_platform({"mode": "up"})

    def busy(self):
        """Returns names of processes with work queued or in progress.

        A node that doesn't answer counts as busy.
        """
        names = []
        for node in self.nodes():
            dump = self.dump(node)
            if dump is None:
                names.append(node.instance)
            elif node.role == "entry":
                names += [node.instance] * bool(dump["calls"])
            else:
                backend = dump["backend"]
                queued = backend.get("queued", 0) + backend.get("queued_urgent", 0)
                work = dump["answers"] + backend["running"] + queued
                work += backend.get("queued_patient", 0)
                work += backend.get("operations", {}).get("running", 0)
                names += [node.instance] * bool(work)
        for slot in self.slots[:3]:
            state = fleet_module.request(slot.address, "GET", "/v1/state").json()
            names += [f"engine of {slot.name}"] * bool(state["running"])
        return names

    def unconverged(self):
        """Returns entries that lack the platform's newest revision of a document.

        Each item is (entry, team, platform's revision, entry's document state).
        """
        path = "/v1/documents?after=0"
        listed = fleet_module.request(self.fleet.platform, "GET", path).json()
        wanted = {d["team"]: d["revision"] for d in listed["documents"]}
        late = []
        for entry in self.entries:
            dump = self.dump(entry)
            known = dump["documents"] if dump else {}
            for team, revision in wanted.items():
                if known.get(team, {}).get("newest_revision") != revision:
                    late.append((entry.instance, team, revision, known.get(team)))
        return late

    def executions(self):
        return {
            s.address: fleet_module.request(s.address, "GET", "/_executions").json()
            for s in self.slots
            if s.kind == "plain"
        }

    def engine_logs(self):
        logs = []
        for slot in self.slots[:3]:
            log = fleet_module.request(slot.address, "GET", "/_log").json()
            logs += [dict(e, engine=slot.name) for e in log["entries"]]
        return logs

    def bad_logs(self):
        found = []
        for path in sorted(self.fleet.folder.glob("*.log")):
            text = path.read_text(errors="replace")
            for line in text.splitlines():
                if any(mark in line for mark in BAD_LOG_LINES):
                    found.append(f"{path.name}: {line}")
        return found


class DumpPoller:
    """Records the document revisions in force at every node, on a thread.

    `seen` holds (time, instance, incarnation, team, revision) and may be read
    after `stop`.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.seen = []

    def start(self):
        self._thread.start()

    def stop(self):
        self._stop.set()
        self._thread.join(30)

    def _run(self):
        while not self._stop.wait(POLL_S):
            for node in self._cluster.nodes():
                dump = self._cluster.dump(node)
                if dump is None:
                    continue
                now = time.monotonic()
                for team, state in dump["documents"].items():
                    self.seen.append(
                        (now, node.instance, dump["incarnation"], team,
                         state["revision"])
                    )


class Run:
    """Runs callers and faults on a cluster and checks the recorded history."""

    def __init__(self, build, folder, seed, seconds):
        self._cluster = Cluster(build, folder)
        self._seed = seed
        self._seconds = seconds
        self._problems = collections.defaultdict(list)
        self._stop = threading.Event()
        self.summary = {}

    def execute(self):
        """Returns lists of violations by the name of the checker.

        Stops all processes also if the run fails with an exception.
        """
        try:
            self._cluster.start()
            history = self._drive()
        finally:
            self._cluster.fleet.stop()
            self._cluster.relays.stop()
        found = checkers.check(history)
        for name, what in self._problems.items():
            found.setdefault(name, []).extend(
                checkers.violation(name, str(w), []) for w in what
            )
        for name in ("processes", "drive"):
            found.setdefault(name, [])
        self._summarise(history)
        return found

    def _drive(self):
        cluster = self._cluster
        poller = DumpPoller(cluster)
        poller.start()
        group = [
            callers.Caller(
                cluster.client, self._seed, i, self._stop, CRASHES_PER_CALLER
            )
            for i in range(CALLERS)
        ]
        # A step takes a second or more, so these steps last for the whole run.
        steps = faults.plan(self._seed, int(self._seconds) + 1)
        end_faults = threading.Event()
        injector = faults.Injector(cluster, steps, end_faults)
        timer = threading.Timer(self._seconds, end_faults.set)
        for caller in group:
            caller.start()
        timer.start()
        injector.run()
        timer.cancel()
        self._stop.set()
        for number, caller in enumerate(group):
            if not caller.join(90):
                self._problems["drive"].append(f"caller {number} does not end")
            if caller.problem:
                self._problems["drive"].append(caller.problem)
        self._problems["drive"] += injector.problems
        self._settle(group)
        poller.stop()
        history = checkers.History(
            list(cluster.client.records),
            cluster.executions(),
            cluster.engine_logs(),
            poller.seen,
            injector.leaves,
            injector.events,
            injector.graceful_stops,
            cluster.ended_boots,
        )
        self._stop_all()
        self._steps_done = injector.steps_done
        return history

    def _settle(self, group):
        cluster = self._cluster
        cluster.undo_faults()
        cluster.announce_all()
        if not cluster.poll(cluster.settled, 30):
            names = cluster.unsettled()
            self._problems["processes"].append(
                f"not settled: {names} {cluster.summaries_of(names)}"
            )
        for caller in group:
            caller.send_kept_again()
        if not cluster.poll(lambda: not cluster.busy(), IDLE_LIMIT_S):
            names = cluster.busy()
            self._problems["processes"].append(
                f"not idle: {names} {cluster.summaries_of(names)}"
            )
        if not cluster.poll(lambda: not cluster.unconverged(), CONVERGENCE_LIMIT_S):
            self._problems["documents_converge"] += cluster.unconverged()
        # Gives delayed work time to start, so that the history includes work
        # that starts although its caller was answered "not_run".
        end = time.monotonic() + GRACE_S
        cluster.poll(lambda: time.monotonic() > end, GRACE_S + 1)

    def _stop_all(self):
        cluster = self._cluster
        dead = [n.instance for n in cluster.nodes() if not n.process.running()]
        if dead:
            self._problems["processes"].append(f"ended during the run: {dead}")
        bad = cluster.fleet.stop_gracefully()
        if bad:
            self._problems["processes"].append(f"exit codes: {bad}")
        self._problems["processes"] += cluster.bad_logs()

    def _summarise(self, history):
        kinds = collections.Counter(r.kind for r in history.records)
        outcomes = collections.Counter(
            r.outcome or ("whole" if r.status == 200 and r.whole else "broken")
            for r in history.records
        )
        injected = collections.Counter(e.fault.kind for e in history.faults)
        self.summary = {
            "steps": self._steps_done,
            "faults": sum(injected.values()),
            "fault_kinds": dict(injected),
            "calls": len(history.records),
            "calls_by_kind": dict(kinds),
            "outcomes": dict(outcomes),
            "operations_executed": len(history.operation_counts),
            "executions": len(history.engine_logs),
            "revisions_seen": len(history.dumps),
        }


def print_violation(item):
    print(f"VIOLATION {item['check']}: {item['what']}")
    for event in item["events"][:MAX_PRINTED_EVENTS]:
        print(f"    {json.dumps(event, default=str)[:900]}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, required=True)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--build", default=None)
    options = parser.parse_args()
    # Raises SystemExit on SIGTERM, so that `execute` stops the fleet.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    root = HERE.parent.parent
    build = options.build or root / "build" / "sanitize"
    totals = collections.Counter()
    for index in range(options.runs):
        seed = options.seed + index
        folder = tempfile.mkdtemp(prefix=f"history-{seed}-")
        run = Run(build, folder, seed, options.minutes * 60)
        found = run.execute()
        print(f"run {index}: seed {seed}, logs (kept after a violation) {folder}")
        print(json.dumps(run.summary))
        for name, items in found.items():
            totals["failed" if items else "passed"] += 1
            print(f"  {name}: {len(items)} violations")
            for item in items[:5]:
                print_violation(item)
        totals["runs"] += 1
        totals["faults"] += run.summary["faults"]
        totals["calls"] += run.summary["calls"]
        totals["violations"] += sum(len(items) for items in found.values())
        sys.stdout.flush()
        if not any(found.values()):
            shutil.rmtree(folder)
    print(
        f"runs {totals['runs']}, faults {totals['faults']}, calls {totals['calls']}, "
        f"violations {totals['violations']}"
    )
    print(f"history: {totals['passed']} passed, {totals['failed']} failed")
    return 1 if totals["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
