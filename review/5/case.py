"""A request that is hidden in the body of another one is run, because the
length of that body is stated twice."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import http1  # noqa: E402
from lib.case import run_case, with_trouble  # noqa: E402
from lib.clients import Client, new_attempt_id  # noqa: E402
from lib.deployment import CannotRun  # noqa: E402
from lib.engines import PlainEngine  # noqa: E402
from lib.orders import BODY, Orders  # noqa: E402

ENGINES = 2
REQUESTS = 40


def hidden_request(attempt):
    fields = [("Host", "shop.example"), ("Attempt-Id", attempt), ("Content-Length", 0)]
    return http1.encode("POST /order/hidden HTTP/1.1", fields)


def outer_request(attempt, body, framing):
    fields = [("Host", "shop.example"), ("Attempt-Id", attempt), ("Deadline-Ms", 2000)]
    return http1.encode("POST /order/outer HTTP/1.1", fields + framing, body)


def two_lengths(attempt, hidden):
    """Two Content-Length fields that differ; the second is the true one."""
    framing = [("Content-Length", 0), ("Content-Length", len(hidden))]
    return outer_request(attempt, hidden, framing)


def length_and_chunks(attempt, hidden):
    """Content-Length beside Transfer-Encoding, which ends the body sooner."""
    body = b"0\r\n\r\n" + hidden
    framing = [("Content-Length", len(body)), ("Transfer-Encoding", "chunked")]
    return outer_request(attempt, body, framing)


def one_length(attempt, hidden):
    return outer_request(attempt, hidden, [("Content-Length", len(hidden))])


async def play(record, deployment):
    orders = Orders(record, deployment)
    await orders.start(PlainEngine, ENGINES, 1, lambda: 0.06)
    front = orders.fronts[0]
    client = Client(front, record)
    sent, hidden, served = set(), {}, 0
    for number in range(REQUESTS):
        usual = await client.send("POST", "/order/usual", [], BODY)
        sent.add(usual.attempt)
        served += 1 if usual.status == 200 else 0
        make = (two_lengths, length_and_chunks)[number % 2]
        if not with_trouble():
            make = one_length
        outer, inner = new_attempt_id(), new_attempt_id()
        sent.add(outer)
        hidden[inner] = make.__name__
        connection = await http1.connect(front)
        record.write(f"client sends {outer} with {inner} hidden in it, {make.__name__}")
        connection.write(make(outer, hidden_request(inner)))
        await connection.read_raw(0.3)
        connection.close()
    if served < REQUESTS / 2:
        raise CannotRun("less than half of the usual requests were served")
    return judge(orders.engines, sent, hidden)


def judge(engines, sent, hidden):
    breaks = []
    for engine in engines:
        for attempt in engine.runs:
            if attempt in hidden:
                breaks.append(f"UNASKED: {attempt} ran, hidden by {hidden[attempt]}")
            elif attempt not in sent:
                breaks.append(f"UNASKED: {attempt} ran, which no client sent")
    return breaks


if __name__ == "__main__":
    run_case(__file__, play)
