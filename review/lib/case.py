"""The frame of a case: its record, its exit code and its clean end."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback

from .deployment import CannotRun, Deployment
from .record import Record

# `run` turns them into the exit codes of a case.
HELD, BROKEN, CANNOT_RUN = 0, 10, 2


def with_trouble():
    """Whether the run has its disruption (TROUBLE=0 leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _play(play, record, deployment, limit_s):
    task = asyncio.ensure_future(play(record, deployment))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, limit_s)


def _code_of(play, record, deployment, limit_s):
    try:
        loop = asyncio.new_event_loop()
        breaks = loop.run_until_complete(_play(play, record, deployment, limit_s))
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as error:
        print(f"cannot run: {error!r}")
        return CANNOT_RUN
    except Exception:
        traceback.print_exc()
        return CANNOT_RUN
    for text in breaks:
        record.write(f"BROKEN {text}")
        print(f"broken: {text}")
    print("the rule was broken" if breaks else "the rule held")
    return BROKEN if breaks else HELD


def run_case(file, play, limit_s=112):
    """Runs `play(record, deployment)`, which returns the breaks of the rule as
    texts, and ends the process with HELD, BROKEN or CANNOT_RUN."""
    record = Record(pathlib.Path(file).resolve().parent / "record.txt")
    deployment = Deployment(record)
    try:
        code = _code_of(play, record, deployment, limit_s)
    finally:
        deployment.stop()
    record.write(f"exit {code}")
    record.close()
    sys.stdout.flush()
    # The stand-ins' connections need no orderly end.
    os._exit(code)
