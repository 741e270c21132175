"""Clients that keep their connections open, as PROTOCOL.md describes them."""

import asyncio
import random

from . import http1


class Result:
    """What a client saw of one attempt."""

    def __init__(self, attempt, answer):
        self.attempt = attempt
        self.answer = answer

    @property
    def status(self):
        return self.answer.status if self.answer is not None else None

    @property
    def whole(self):
        return self.answer is not None and self.answer.complete


def new_attempt_id(rng=random):
    return f"{rng.getrandbits(64):016x}"


class Client:
    """Sends requests to one router, one at a time on each connection."""

    def __init__(self, address, record):
        self._address = address
        self._record = record
        self._idle = []

    async def send(self, method, path, headers, body=b"", deadline_ms=4000):
        """Sends one attempt with a new id and returns its result."""
        attempt = new_attempt_id()
        fields = [
            ("Host", "shop.example"),
            ("Attempt-Id", attempt),
            ("Deadline-Ms", deadline_ms),
        ] + list(headers)
        if body or method == "POST":
            fields.append(("Content-Length", len(body)))
        connection = await self._take()
        self._record.write(f"client sends {attempt} {method} {path}")
        connection.write(http1.encode(f"{method} {path} HTTP/1.1", fields, body))
        answer = None
        try:
            answer = await asyncio.wait_for(
                connection.read_message(), deadline_ms / 1000 + 1
            )
        except (http1.Disconnected, asyncio.TimeoutError):
            pass
        result = Result(attempt, answer)
        self._record.write(
            f"client gets {attempt} {result.status or 'no answer'}"
            f"{'' if result.whole else ' (not whole)'}"
        )
        self._give_back(connection, result)
        return result

    async def _take(self):
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed.is_set():
                return connection
        return await http1.connect(self._address)

    def _give_back(self, connection, result):
        if (
            result.whole
            and result.answer.header("connection").lower() != "close"
            and not connection.closed.is_set()
        ):
            self._idle.append(connection)
        else:
            connection.close()

    def close(self):
        for connection in self._idle:
            connection.close()
