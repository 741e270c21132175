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
    # Nanoseconds on a processor, user and system; the ticks of "stat" are too
    # coarse for an idle process. The processes have one thread.
    with open(f"/proc/{pid}/schedstat") as schedstat:
        cpu_s = int(schedstat.read().split()[0]) / 1e9
    with open(f"/proc/{pid}/status") as status:
        resident = [line for line in status if line.startswith("VmRSS:")]
    return Usage(cpu_s, int(resident[0].split()[1]))


def start_load(build, target, **options):
    """Starts path_bench; keyword arguments are its options."""
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


def finish_load(process):
    output, _ = process.communicate(timeout=150)
    if process.returncode != 0:
        raise RuntimeError("path_bench failed")
    return json.loads(output)


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
