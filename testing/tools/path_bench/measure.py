"""Runs path_bench and reads processor time and memory from /proc."""

import dataclasses
import json
import subprocess


@dataclasses.dataclass
class Usage:
    cpu_s: float
    resident_kib: int


def usage(pid):
    """Returns the processor time and the resident memory of a process."""
    # User and system time in nanoseconds, of one thread; the processes have only
    # one. The ticks in "stat" are too coarse for an idle process.
    with open(f"/proc/{pid}/schedstat") as schedstat:
        cpu_s = int(schedstat.read().split()[0]) / 1e9
    with open(f"/proc/{pid}/status") as status:
        resident = [line for line in status if line.startswith("VmRSS:")]
    return Usage(cpu_s, int(resident[0].split()[1]))


def start_load(build, target, **options):
    """Starts path_bench and returns the process.

    Keyword arguments are its options: `in_flight=4` becomes "--in-flight 4". True
    gives an option without a value, a list repeats the option.
    """
    command = [build / "bin" / "path_bench", "--target", target]
    for name, value in options.items():
        option = "--" + name.replace("_", "-")
        if value is True:
            command.append(option)
        else:
            values = value if isinstance(value, list) else [value]
            for one in values:
                command += [option, str(one)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


# Waits for path_bench to end and returns its JSON result. Raises RuntimeError if
# it failed, and subprocess.TimeoutExpired after 150 s.
def finish_load(process):
    output, _ = process.communicate(timeout=150)
    if process.returncode != 0:
        raise RuntimeError("path_bench failed")
    return json.loads(output)


# Runs path_bench to its end and returns its JSON result.
def load(build, target, **options):
    return finish_load(start_load(build, target, **options))


def document(team, adapters, services=()):
    """Returns a service document with adapters a0, a1, ... at version 1."""
    lines = [
        "[service]",
        f"team = {team}",
        "base_model = base-1",
        "objective = stalls",
        "[kind counter]",
        "urgency = urgent",
        "deadline_ms = 60000",
    ]
    for number in range(adapters):
        lines += [f"[adapter a{number}]", "versions = 1"]
    for service in services:
        lines += [f"[plain {service}]"]
    return "\n".join(lines) + "\n"
