"""A seeded plan of faults and how each is injected and undone."""

import dataclasses
import random
import signal
import threading
import time

# An operation whose answer got lost on a silent connection holds a stop up for
# 60 s.
STOP_LIMIT_S = 75
QUIET_S = 4.2  # Longest wait for the effects of earlier faults to end.
GRACEFUL_EVERY = 3  # Steps from one graceful stop in a quiet phase to the next.
# Engine sidecars come first: their calls are the longest.
GRACEFUL_STOPS = (
    ("quiet_sidecar", 3),
    ("quiet_entry", 3),
    ("quiet_list", 6),
    ("quiet_sidecar", 6),
)

# Weight of each kind of fault; the target is drawn from the kind's group.
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
TARGETS = {"entry": 3, "sidecar": 6, "engine": 3, "plain": 3, "link": 9}

# Faults after which some process has not heard of a crash that others know of.
DIVIDES = {
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
    target: int
    hold_s: float
    variant: int
    times: int


@dataclasses.dataclass
class Event:
    """A fault as it was injected."""

    fault: Fault
    begin: float
    end: float = float("inf")

    @property
    def divides(self):
        return self.fault.kind in DIVIDES or self.quiet

    @property
    def quiet(self):
        return self.fault.kind.startswith("quiet_")


@dataclasses.dataclass
class Leave:
    """A sidecar that was told to leave."""

    instance: str
    incarnation: int
    at: float
    until: float  # When another process may serve the same backend server.
    server: str = ""  # Plain server that only this sidecar serves.

    def sole_server_targets(self, executions):
        executed = executions.get(self.server)
        return executed["targets"] if executed else {}


def plan(seed, steps):
    """Returns `steps` tuples of faults that run at the same time."""
    choose = random.Random(f"faults/{seed}")
    result = []
    for step in range(steps):
        if step % GRACEFUL_EVERY == GRACEFUL_EVERY - 1:
            kind, count = GRACEFUL_STOPS[step // GRACEFUL_EVERY % len(GRACEFUL_STOPS)]
            result.append((Fault(kind, choose.randrange(count), 0.0, 0, 1),))
            continue
        pair = []
        kinds = list(KINDS)
        weights = [KINDS[k][0] for k in kinds]
        for kind in choose.choices(kinds, weights, k=2):
            target = choose.randrange(TARGETS.get(KINDS[kind][1], 1))
            hold = choose.choice([0.2, 0.6, 1.2, 2.0, 3.0, 6.0])
            times = 2 if choose.random() < 0.3 else 1
            pair.append(Fault(kind, target, hold, choose.randrange(1000), times))
        result.append(tuple(pair))
    return result


class Injector:
    """Runs a plan against a world (see run.py)."""

    def __init__(self, world, steps, stop):
        self._world = world
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
            self._world.announce_all()
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
        # Faults of one process follow each other.
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
        self._world.kill_entry(fault.target, lambda: self._hold(fault))

    def _stop_entry(self, fault):
        world = self._world
        node = world.entries[fault.target]
        node.process.signal(signal.SIGSTOP)
        self._stop.wait(min(0.4, fault.hold_s))
        # The balancer has noticed.
        world.client.entries.pop(node.instance, None)
        self._hold(fault)
        node.process.signal(signal.SIGCONT)
        world.client.entries[node.instance] = node.http

    def _kill_sidecar(self, fault):
        world = self._world
        world.slots[fault.target].node.process.kill()
        self._hold(fault)
        world.restart_sidecar(world.slots[fault.target])

    def _stop_sidecar(self, fault):
        process = self._world.slots[fault.target].node.process
        process.signal(signal.SIGSTOP)
        self._hold(fault)
        process.signal(signal.SIGCONT)

    def _replace_sidecar(self, fault):
        """A paused sidecar goes on after its replacement has taken over."""
        world = self._world
        slot = world.slots[fault.target]
        old = slot.node
        old.process.signal(signal.SIGSTOP)
        self._stop.wait(0.3)
        world.start_replacement(slot)
        self._hold(fault)
        old.process.signal(signal.SIGCONT)
        self._stop.wait(2.0)
        old.process.kill()
        world.retire(old, slot)

    def _term_sidecar(self, fault):
        self._leave(self._world.slots[fault.target], by_list=False, quiet=False)

    def _list_leaving(self, fault):
        self._leave(self._world.slots[fault.target], by_list=True, quiet=False)

    def _leave(self, slot, by_list, quiet):
        world = self._world
        node = slot.node
        leave = Leave(node.instance, slot.incarnation, 0.0, 0.0, slot.plain_address)
        begin = time.monotonic()
        if by_list:
            world.fleet.put_instance(node, "leaving")
            seen = world.poll(lambda: world.says_leaving(node), 5.0)
            if seen:
                # In a quiet phase the time counts from the change of the list.
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
        world.restart_sidecar(slot)

    def _graceful(self, fault):
        world = self._world
        event = Event(fault, time.monotonic())
        # An idle connection may be found silent long after its fault.
        world.end_silent_connections()
        self._last_end = time.monotonic()
        if not world.poll(world.settled, 15.0):
            self.problems.append(f"not settled before {fault}: {world.unsettled()}")
            return
        self._stop.wait(max(0.0, self._last_end + QUIET_S - time.monotonic()))
        if self._stop.is_set():
            return
        self.events.append(event)
        if fault.kind == "quiet_entry":
            self._leave_entry(fault)
        else:
            slot = world.slots[fault.target]
            self._leave(slot, by_list=fault.kind == "quiet_list", quiet=True)
        event.end = self._last_end = time.monotonic()

    def _leave_entry(self, fault):
        world = self._world
        node = world.entries[fault.target]
        begin = time.monotonic()
        node.process.signal(signal.SIGTERM)
        world.poll(lambda: not world.ready(node), 0.15)
        world.client.entries.pop(node.instance, None)
        code = node.process.wait(STOP_LIMIT_S)
        self.graceful_stops.append((begin, time.monotonic(), node.instance))
        if code != 0:
            self.problems.append(f"{node.instance} ended with {code} after SIGTERM")
            node.process.kill()
        world.restart_entry(fault.target)

    # Engines and plain servers.

    def _engine(self, fault, **command):
        self._world.control_engine(fault.target, command)

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
        self._world.control_plain(fault.target, command)

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
        # What hangs is never answered; its connections end here.
        self._world.slots[3 + fault.target].backend_relay.cut()

    # Platform and documents.

    def _platform(self, fault, mode):
        self._world.control_platform({"mode": mode, "slow_ms": 700})
        self._hold(fault)
        self._world.control_platform({"mode": "up"})

    def _platform_down(self, fault):
        self._platform(fault, "down")

    def _platform_stale(self, fault):
        self._platform(fault, "stale")

    def _platform_slow(self, fault):
        self._platform(fault, "slow")

    def _documents_race(self, fault):
        threads = [
            threading.Thread(
                target=self._world.put_document, args=("alder", fault.variant + i)
            )
            for i in range(2)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _documents_bad(self, fault):
        self._world.put_document("alder", fault.variant)
        self._world.put_document("alder", fault.variant, bad=True)
        self._hold(fault)
        self._world.put_document("alder", fault.variant + 1)

    def _documents_removal(self, fault):
        self._world.control_platform({"remove_documents": ["birch"]})
        self._hold(fault)
        self._world.put_document("birch", fault.variant)

    # Relays. A link leads to an entry or a sidecar.

    def _peer_silent(self, fault):
        self._world.peer_relay(fault.target).silence()

    def _peer_dead(self, fault):
        relay = self._world.peer_relay(fault.target)
        relay.silence(new_too=True)
        self._hold(fault)
        relay.restore()

    def _peer_one_way(self, fault):
        relay = self._world.peer_relay(fault.target)
        relay.silence(["up" if fault.variant % 2 else "down"], fault.variant % 3 == 0)
        self._hold(fault)
        relay.restore()

    def _peer_slow(self, fault):
        relay = self._world.peer_relay(fault.target)
        relay.delay(0.3)
        self._hold(fault)
        relay.restore()

    def _peer_cut(self, fault):
        self._world.peer_relay(fault.target).cut()

    def _backend_silent(self, fault):
        self._world.slots[fault.target].backend_relay.silence()

    def _backend_one_way(self, fault):
        relay = self._world.slots[fault.target].backend_relay
        relay.silence(["up" if fault.variant % 2 else "down"])

    def _backend_cut(self, fault):
        self._world.slots[fault.target].backend_relay.cut()

    def _backend_slow(self, fault):
        relay = self._world.slots[fault.target].backend_relay
        relay.delay(0.2)
        self._hold(fault)
        relay.restore()
