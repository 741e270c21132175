"""Plans faults from a seed, injects them and undoes them."""

import dataclasses
import random
import signal
import threading
import time

# An operation whose answer was lost on a silent connection delays a graceful
# stop by up to 60 s.
STOP_LIMIT_S = 75
QUIET_S = 4.2  # Time after the last fault until its effects have ended.
GRACEFUL_EVERY = 3  # One step in this many is a graceful stop in a quiet phase.
# Kinds of graceful stops, used in turn, with their numbers of targets. Engine
# sidecars (targets 0 to 2) come first because their calls take longest.
GRACEFUL_STOPS = (
    ("quiet_sidecar", 3),
    ("quiet_entry", 3),
    ("quiet_list", 6),
    ("quiet_sidecar", 6),
)

# Fault kind: (weight in the random choice, group of its targets). The method
# `Injector._KIND` injects it.
KINDS = {
    "kill_entry": (3, "entry"),
    "stop_entry": (3, "entry"),
    "kill_sidecar": (4, "sidecar"),
    "stop_sidecar": (4, "sidecar"),
    "replace_sidecar": (3, "sidecar"),
    "term_sidecar": (2, "sidecar"),
    "list_leaving": (2, "sidecar"),
    "engine_restart": (3, "engine"),
    "engine_hang": (3, "engine"),
    "engine_silence": (3, "engine"),
    "load_failures": (2, "engine"),
    "slow_loads": (2, "engine"),
    "wrong_model": (3, "engine"),
    "no_final_marker": (3, "engine"),
    "plain_loses": (4, "plain"),
    "plain_slow": (3, "plain"),
    "plain_hang": (2, "plain"),
    "platform_down": (2, "platform"),
    "platform_stale": (2, "platform"),
    "platform_slow": (2, "platform"),
    "documents_race": (3, "documents"),
    "documents_bad": (3, "documents"),
    "documents_removal": (2, "documents"),
    "peer_silent": (4, "link"),
    "peer_dead": (3, "link"),
    "peer_one_way": (4, "link"),
    "peer_slow": (2, "link"),
    "peer_cut": (3, "link"),
    "backend_silent": (3, "sidecar"),
    "backend_one_way": (3, "sidecar"),
    "backend_cut": (3, "sidecar"),
    "backend_slow": (2, "sidecar"),
}
# Number of targets in each group; 1 for groups that are not listed.
TARGETS = {"entry": 3, "sidecar": 6, "engine": 3, "plain": 3, "link": 9}

# Faults after which a process may lack crash reports that others have received.
PARTITIONING_KINDS = {
    "kill_entry",
    "stop_entry",
    "kill_sidecar",
    "stop_sidecar",
    "replace_sidecar",
    "term_sidecar",
    "list_leaving",
    "peer_silent",
    "peer_dead",
    "peer_one_way",
    "peer_slow",
    "peer_cut",
}


@dataclasses.dataclass(frozen=True)
class Fault:
    kind: str
    target: int  # Index in the kind's group of targets.
    hold_s: float  # How long the fault lasts before it is undone.
    variant: int  # Random number that sets the details of some kinds.
    times: int  # How often it is injected, one after the other.


@dataclasses.dataclass
class Event:
    """A fault with the time span in which it was injected and undone."""

    fault: Fault
    begin: float
    end: float = float("inf")

    # Whether a process may afterwards lack crash reports that others received.
    @property
    def partitions(self):
        return self.fault.kind in PARTITIONING_KINDS or self.quiet

    # Whether it is a graceful stop in a phase without other faults.
    @property
    def quiet(self):
        return self.fault.kind.startswith("quiet_")


@dataclasses.dataclass
class Leave:
    """A notice to a sidecar to leave, by SIGTERM or by the instance list."""

    instance: str
    incarnation: int
    at: float
    until: float  # When another process may serve the same backend server.
    server: str = ""  # Plain server that only this sidecar serves.

    # Returns execution counts by target of the plain server; {} if none.
    def sole_server_targets(self, executions):
        executed = executions.get(self.server)
        return executed["targets"] if executed else {}


def plan(seed, steps):
    """Returns `steps` tuples; the faults of one tuple are injected concurrently.

    The plan depends only on the arguments.
    """
    rng = random.Random(f"faults/{seed}")
    result = []
    for step in range(steps):
        if step % GRACEFUL_EVERY == GRACEFUL_EVERY - 1:
            kind, count = GRACEFUL_STOPS[step // GRACEFUL_EVERY % len(GRACEFUL_STOPS)]
            result.append((Fault(kind, rng.randrange(count), 0.0, 0, 1),))
            continue
        pair = []
        kinds = list(KINDS)
        weights = [KINDS[k][0] for k in kinds]
        for kind in rng.choices(kinds, weights, k=2):
            target = rng.randrange(TARGETS.get(KINDS[kind][1], 1))
            hold = rng.choice([0.2, 0.6, 1.2, 2.0, 3.0, 6.0])
            times = 2 if rng.random() < 0.3 else 1
            pair.append(Fault(kind, target, hold, rng.randrange(1000), times))
        result.append(tuple(pair))
    return result


class Injector:
    """Runs a plan against a cluster (see `Cluster` in history_check.py).

    `run` returns at the end of the plan or after `stop` is set. The result
    attributes may be read after that. Exceptions of single faults are added to
    `problems`.
    """

    def __init__(self, cluster, steps, stop):
        self._cluster = cluster
        self._steps = steps
        self._stop = stop
        self.events = []
        self.leaves = []
        self.graceful_stops = []
        self.problems = []
        self.steps_done = 0
        self._locks = {}
        self._lock = threading.Lock()
        self._last_end = 0.0

    def run(self):
        for step in self._steps:
            if self._stop.is_set():
                break
            self._cluster.announce_all()
            if step[0].kind.startswith("quiet_"):
                self._guard(self._graceful, step[0])
            else:
                threads = [
                    threading.Thread(target=self._guard, args=(self._repeat, fault))
                    for fault in step
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
            self.steps_done += 1

    def _guard(self, function, fault):
        try:
            function(fault)
        except Exception as error:  # Reported by the run as a violation.
            self.problems.append(f"{fault}: {error!r}")

    def _repeat(self, fault):
        group = KINDS[fault.kind][1]
        # Faults that act on the same process are serialised.
        process = group in ("entry", "sidecar") and not fault.kind.startswith("backend")
        key = (group if process else fault.kind, fault.target)
        with self._lock:
            lock = self._locks.setdefault(key, threading.Lock())
        with lock:
            for _ in range(fault.times):
                event = Event(fault, time.monotonic())
                self.events.append(event)
                try:
                    getattr(self, f"_{fault.kind}")(fault)
                finally:
                    event.end = self._last_end = time.monotonic()

    def _hold(self, fault):
        self._stop.wait(fault.hold_s)

    # Processes.

    def _kill_entry(self, fault):
        self._cluster.kill_entry(fault.target, lambda: self._hold(fault))

    def _stop_entry(self, fault):
        cluster = self._cluster
        node = cluster.entries[fault.target]
        node.process.signal(signal.SIGSTOP)
        self._stop.wait(min(0.4, fault.hold_s))
        # By now a load balancer would have removed the entry.
        cluster.client.entries.pop(node.instance, None)
        self._hold(fault)
        node.process.signal(signal.SIGCONT)
        cluster.client.entries[node.instance] = node.http

    def _kill_sidecar(self, fault):
        cluster = self._cluster
        cluster.slots[fault.target].node.process.kill()
        self._hold(fault)
        cluster.restart_sidecar(cluster.slots[fault.target])

    def _stop_sidecar(self, fault):
        process = self._cluster.slots[fault.target].node.process
        process.signal(signal.SIGSTOP)
        self._hold(fault)
        process.signal(signal.SIGCONT)

    def _replace_sidecar(self, fault):
        """Resumes a paused sidecar after its replacement has taken over."""
        cluster = self._cluster
        slot = cluster.slots[fault.target]
        old = slot.node
        old.process.signal(signal.SIGSTOP)
        self._stop.wait(0.3)
        cluster.start_replacement(slot)
        self._hold(fault)
        old.process.signal(signal.SIGCONT)
        self._stop.wait(2.0)
        old.process.kill()
        cluster.retire(old, slot)

    def _term_sidecar(self, fault):
        self._leave(self._cluster.slots[fault.target], by_list=False, quiet=False)

    def _list_leaving(self, fault):
        self._leave(self._cluster.slots[fault.target], by_list=True, quiet=False)

    def _leave(self, slot, by_list, quiet):
        cluster = self._cluster
        node = slot.node
        leave = Leave(node.instance, slot.incarnation, 0.0, 0.0, slot.plain_address)
        begin = time.monotonic()
        if by_list:
            cluster.fleet.put_instance(node, "leaving")
            seen = cluster.poll(lambda: cluster.reports_leaving(node), 5.0)
            if seen:
                # In a quiet phase the limit counts from the change of the list,
                # otherwise from when the sidecar reports that it leaves.
                leave.at = begin if quiet else time.monotonic()
                self.leaves.append(leave)
            elif quiet:
                self.problems.append(f"{node.instance} did not learn that it leaves")
            self._stop.wait(4.5)
        node.process.signal(signal.SIGTERM)
        if not by_list:
            leave.at = begin
            self.leaves.append(leave)
        code = node.process.wait(STOP_LIMIT_S)
        leave.until = time.monotonic()
        if code != 0:
            self.problems.append(f"{node.instance} ended with {code} after SIGTERM")
            node.process.kill()
        if quiet:
            self.graceful_stops.append((begin, leave.until, node.instance))
        cluster.restart_sidecar(slot)

    def _graceful(self, fault):
        cluster = self._cluster
        event = Event(fault, time.monotonic())
        # An idle connection that an earlier fault silenced may be detected only
        # much later, and would disturb the quiet phase.
        cluster.end_silent_connections()
        self._last_end = time.monotonic()
        if not cluster.poll(cluster.settled, 15.0):
            self.problems.append(f"not settled before {fault}: {cluster.unsettled()}")
            return
        self._stop.wait(max(0.0, self._last_end + QUIET_S - time.monotonic()))
        if self._stop.is_set():
            return
        self.events.append(event)
        if fault.kind == "quiet_entry":
            self._leave_entry(fault)
        else:
            slot = cluster.slots[fault.target]
            self._leave(slot, by_list=fault.kind == "quiet_list", quiet=True)
        event.end = self._last_end = time.monotonic()

    def _leave_entry(self, fault):
        cluster = self._cluster
        node = cluster.entries[fault.target]
        begin = time.monotonic()
        node.process.signal(signal.SIGTERM)
        cluster.poll(lambda: not cluster.ready(node), 0.15)
        cluster.client.entries.pop(node.instance, None)
        code = node.process.wait(STOP_LIMIT_S)
        self.graceful_stops.append((begin, time.monotonic(), node.instance))
        if code != 0:
            self.problems.append(f"{node.instance} ended with {code} after SIGTERM")
            node.process.kill()
        cluster.restart_entry(fault.target)

    # Engines and plain servers.

    def _engine(self, fault, **command):
        self._cluster.control_engine(fault.target, command)

    def _engine_restart(self, fault):
        self._engine(fault, restart=True)

    def _engine_hang(self, fault):
        self._engine(fault, hang=True)
        self._hold(fault)
        self._engine(fault, hang=False)

    def _engine_silence(self, fault):
        self._engine(fault, silence=True)

    def _load_failures(self, fault):
        self._engine(fault, fail_next_loads=1 + fault.variant % 4)
        self._hold(fault)
        self._engine(fault, fail_next_loads=0)

    def _slow_loads(self, fault):
        self._engine(fault, delay_load_ms=800)
        self._hold(fault)
        self._engine(fault, delay_load_ms=0)

    def _wrong_model(self, fault):
        self._engine(fault, wrong_model=1 + fault.variant % 5)
        self._hold(fault)
        self._engine(fault, wrong_model=0)

    def _no_final_marker(self, fault):
        self._engine(fault, ignore_final_marker=1 + fault.variant % 4)
        self._hold(fault)
        self._engine(fault, ignore_final_marker=0)

    def _plain(self, fault, **command):
        self._cluster.control_plain(fault.target, command)

    def _plain_loses(self, fault):
        self._plain(fault, lose_next_answers=1 + fault.variant % 5)
        self._hold(fault)
        self._plain(fault, lose_next_answers=0)

    def _plain_slow(self, fault):
        self._plain(fault, delay_ms=400)
        self._hold(fault)
        self._plain(fault, delay_ms=5)

    def _plain_hang(self, fault):
        self._plain(fault, hang=True)
        self._hold(fault)
        self._plain(fault, hang=False)
        # A hung request is never answered, so its connection is closed here.
        self._cluster.slots[3 + fault.target].backend_relay.cut()

    # Platform and documents.

    def _platform(self, fault, mode):
        self._cluster.control_platform({"mode": mode, "slow_ms": 700})
        self._hold(fault)
        self._cluster.control_platform({"mode": "up"})

    def _platform_down(self, fault):
        self._platform(fault, "down")

    def _platform_stale(self, fault):
        self._platform(fault, "stale")

    def _platform_slow(self, fault):
        self._platform(fault, "slow")

    def _documents_race(self, fault):
        threads = [
            threading.Thread(
                target=self._cluster.put_document, args=("alder", fault.variant + i)
            )
            for i in range(2)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _documents_bad(self, fault):
        self._cluster.put_document("alder", fault.variant)
        self._cluster.put_document("alder", fault.variant, bad=True)
        self._hold(fault)
        self._cluster.put_document("alder", fault.variant + 1)

    def _documents_removal(self, fault):
        self._cluster.control_platform({"remove_documents": ["birch"]})
        self._hold(fault)
        self._cluster.put_document("birch", fault.variant)

    # Relays. Group "link": the relays in front of sidecars and entries.

    def _peer_silent(self, fault):
        self._cluster.peer_relay(fault.target).silence()

    def _peer_dead(self, fault):
        relay = self._cluster.peer_relay(fault.target)
        relay.silence(include_new=True)
        self._hold(fault)
        relay.restore()

    def _peer_one_way(self, fault):
        relay = self._cluster.peer_relay(fault.target)
        relay.silence(["up" if fault.variant % 2 else "down"], fault.variant % 3 == 0)
        self._hold(fault)
        relay.restore()

    def _peer_slow(self, fault):
        relay = self._cluster.peer_relay(fault.target)
        relay.delay(0.3)
        self._hold(fault)
        relay.restore()

    def _peer_cut(self, fault):
        self._cluster.peer_relay(fault.target).cut()

    def _backend_silent(self, fault):
        self._cluster.slots[fault.target].backend_relay.silence()

    def _backend_one_way(self, fault):
        relay = self._cluster.slots[fault.target].backend_relay
        relay.silence(["up" if fault.variant % 2 else "down"])

    def _backend_cut(self, fault):
        self._cluster.slots[fault.target].backend_relay.cut()

    def _backend_slow(self, fault):
        relay = self._cluster.slots[fault.target].backend_relay
        relay.delay(0.2)
        self._hold(fault)
        relay.restore()
