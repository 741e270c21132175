"""Runs the CppUTest programs of a folder and prints the totals of their results.

usage: run_tests.py FOLDER [PROGRAM...]

Without program names, runs all programs and then a short history check with a
fixed seed.

A line "PROGRAM GROUP.NAME: ..." of KNOWN-RED.txt names a test that is printed
and not run. A program that ends without CppUTest's summary counts as a failure.
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

# Programs that measure what a process uses, and so run apart from the others.
SERIAL_PROGRAMS = ("client_crowd_test",)
PROGRAM_TIMEOUT_S = 900
HISTORY_TIMEOUT_S = 600
HISTORY_OPTIONS = ("--seed", "1", "--minutes", "0.6")
HISTORY_SUMMARY = re.compile(r"^history: (\d+) passed, (\d+) failed$", re.MULTILINE)
SUMMARY = re.compile(
    r"^(OK|Errors) \((?:(\d+) failures?, )?\d+ tests?, (\d+) ran", re.MULTILINE
)
KNOWN_RED = re.compile(r"^(\w+_test) (\w+)\.(\w+):")


# Returns the tests listed in KNOWN-RED.txt as "GROUP.NAME", by program.
def known_red(root):
    path = root / "KNOWN-RED.txt"
    entries = {}
    if path.exists():
        for line in path.read_text().splitlines():
            match = KNOWN_RED.match(line)
            if match:
                program, group, name = match.groups()
                entries.setdefault(program, []).append(f"{group}.{name}")
    return entries


# Runs a program without the skipped tests. Returns its name, the numbers of
# passed and failed tests, and its output.
def run(program, skipped):
    command = [str(program)]
    for test in skipped:
        command += ["-xt", test]
    environment = dict(os.environ, RC_PARAMS="seed=1 " + os.environ.get("RC_EXTRA", ""))
    try:
        done = subprocess.run(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            timeout=PROGRAM_TIMEOUT_S,
            env=environment,
            check=False,
        )
        output, code = done.stdout, done.returncode
    except subprocess.TimeoutExpired as error:
        output = (error.stdout or b"").decode(errors="replace")
        output += f"\ntimed out after {PROGRAM_TIMEOUT_S} s\n"
        code = 1
    match = SUMMARY.search(output)
    if not match:
        return program.name, 0, 1, output
    failed = int(match.group(2) or 0)
    if code != 0 and failed == 0:
        failed = 1
    passed = max(0, int(match.group(3)) - failed)
    return program.name, passed, failed, output


# Returns the numbers of passed and failed checkers and the output.
def run_history(root, build):
    command = [sys.executable, str(root / "testing/history/history_check.py")]
    command += [*HISTORY_OPTIONS, "--build", str(build)]
    child = subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    )
    try:
        output, _ = child.communicate(timeout=HISTORY_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        # On SIGTERM the history check stops its processes.
        child.terminate()
        output, _ = child.communicate()
        output += f"\ntimed out after {HISTORY_TIMEOUT_S} s\n"
    code = child.returncode
    match = HISTORY_SUMMARY.search(output)
    if not match:
        return 0, 1, output
    failed = int(match.group(2))
    if code != 0 and failed == 0:
        failed = 1
    return int(match.group(1)), failed, output


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    folder = pathlib.Path(sys.argv[1]).resolve()
    names = sys.argv[2:]
    programs = [folder / n for n in names] if names else sorted(folder.glob("*_test"))
    red = known_red(root)
    workers = min(6, os.cpu_count() or 1)
    passed = failed = 0
    serial = [p for p in programs if p.name in SERIAL_PROGRAMS]
    parallel = [p for p in programs if p.name not in SERIAL_PROGRAMS]
    for count, group in ((1, serial), (workers, parallel)):
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            results = pool.map(lambda p: run(p, red.get(p.name, [])), group)
            for name, ok, bad, output in results:
                passed += ok
                failed += bad
                print(f"{name}: {ok} passed, {bad} failed", flush=True)
                if bad:
                    print(output, flush=True)
    if not names:
        ok, bad, output = run_history(root, folder.parent)
        passed += ok
        failed += bad
        print(f"history: {ok} passed, {bad} failed", flush=True)
        if bad:
            print(output, flush=True)
    for program, tests in red.items():
        for test in tests:
            print(f"known red, not run: {program} {test}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
