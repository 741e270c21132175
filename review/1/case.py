"""A late second copy of a rejection is taken for the answer to the next send
of the same request: it then runs twice, or is refused although it runs."""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib.case import run_case, with_trouble  # noqa: E402
from lib.clients import Client  # noqa: E402
from lib.deployment import CannotRun  # noqa: E402
from lib.engines import PlainEngine  # noqa: E402
from lib.orders import BODY, SLOTS, Orders  # noqa: E402

WORK_S = 0.06
ENGINES = 2
ROUTERS = 2
# One way between zones, as in presa-sofia.
ZONE_LATENCY_S = 0.0014

# The clients send this share of what the engines can run, and in a burst
# BURST_X times as much.
USUAL_LOAD = 0.95
BURST_X = 1.7
# garble, "extra late": half of the servers, x = 0.03 of their answers, 5 s.
COPIED_SHARE = 0.03
TROUBLE_S = 5.0
BURST_S = 4.5
PAUSE_S = 1.5
WINDOWS = 15


class CopyingEngine(PlainEngine):
    """An application server that sends some answers a second time, at the
    point where the next answer on the connection is expected."""

    latency_s = ZONE_LATENCY_S
    copies = False

    def answer(self, connection, request, status, headers=(), body=b""):
        data = super().answer(connection, request, status, headers, body)
        if self.copies and random.random() < COPIED_SHARE:
            connection.late_copy = data

    async def handle(self, connection, request):
        copy = getattr(connection, "late_copy", None)
        if copy is not None:
            connection.late_copy = None
            self.note("sends a late second copy of its last answer here")
            self.send(connection, copy)
        await super().handle(connection, request)


def work_s():
    return random.lognormvariate(0, 0.5) * WORK_S * 0.88


async def play(record, deployment):
    orders = Orders(record, deployment)
    await orders.start(CopyingEngine, ENGINES, ROUTERS, work_s)
    clients = [Client(front, record) for front in orders.fronts]
    copying = orders.engines[0]

    results = []
    sends = []

    async def send():
        client = random.choice(clients)
        results.append(await client.send("POST", "/order/new", [], BODY))

    async def load(share, seconds):
        rate = share * ENGINES * SLOTS / WORK_S
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            sends.append(asyncio.ensure_future(send()))
            await asyncio.sleep(random.expovariate(rate))

    await load(USUAL_LOAD, 2)
    for _ in range(WINDOWS):
        copying.copies = with_trouble()
        await load(USUAL_LOAD * BURST_X, BURST_S)
        await load(USUAL_LOAD, TROUBLE_S - BURST_S)
        copying.copies = False
        await load(USUAL_LOAD, PAUSE_S)
    await asyncio.gather(*sends)
    await asyncio.sleep(1)
    return judge(orders.engines, results)


def judge(engines, results):
    runs = collections.Counter(a for engine in engines for a in engine.runs)
    served = sum(1 for result in results if result.status == 200)
    refused = sum(1 for result in results if result.status == 503)
    print(f"{len(results)} sent, {served} served, {refused} refused")
    if served < len(results) / 2:
        raise CannotRun("less than half of the requests were served")
    breaks = []
    for attempt, count in runs.items():
        if count > 1:
            breaks.append(f"TWICE: {attempt} ran {count} times")
    for result in results:
        if result.status in (408, 421, 429, 503) and runs[result.attempt] > 0:
            breaks.append(f"REFUSED: {result.attempt} got {result.status} and ran")
    return breaks


if __name__ == "__main__":
    run_case(__file__, play)
