"""A small HTTP/1.1 server and client for the stand-ins of this folder."""

import asyncio

MAX_HEAD_BYTES = 1 << 16


class Disconnected(Exception):
    """The peer closed or reset the connection."""


class Message:
    """A request or an answer; header names are lower case, in order."""

    def __init__(self, start, headers, body=b"", complete=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.complete = complete

    def header(self, name, default=""):
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def path(self):
        return self.target.split("?")[0]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


class Connection(asyncio.Protocol):
    """One TCP connection with a buffer of received bytes."""

    def __init__(self, on_open=None):
        self._on_open = on_open
        self._buffer = bytearray()
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self.transport = None
        self.closed = asyncio.Event()
        self.was_reset = False

    def connection_made(self, transport):
        self.transport = transport
        if self._on_open is not None:
            self._task = asyncio.ensure_future(self._on_open(self))

    def data_received(self, data):
        self._buffer += data
        self._changed.set()

    def eof_received(self):
        self.closed.set()
        self._changed.set()
        return False

    def connection_lost(self, error):
        self.was_reset = error is not None
        self.closed.set()
        self._changed.set()
        self._writable.set()

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    async def _more(self):
        if self.closed.is_set():
            raise Disconnected()
        self._changed.clear()
        await self._changed.wait()

    async def _take(self, count):
        while len(self._buffer) < count:
            await self._more()
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data

    async def _take_until(self, mark):
        while (at := self._buffer.find(mark)) < 0:
            await self._more()
        return await self._take(at + len(mark))

    async def _read_chunks(self, on_data):
        body = b""
        while True:
            size = int((await self._take_until(b"\r\n")).split(b";")[0], 16)
            piece = (await self._take(size + 2))[:-2]
            if size == 0:
                return body
            body += piece
            if on_data is not None:
                on_data(piece)

    async def read_message(self, on_data=None):
        """Reads a message. Raises Disconnected if none begins; an incomplete
        answer has `complete` unset."""
        head = (await self._take_until(b"\r\n\r\n")).decode("latin-1")
        lines = head[:-4].split("\r\n")
        headers = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers.append((name.lower(), value.strip()))
        message = Message(lines[0], headers)
        try:
            if message.header("transfer-encoding").lower() == "chunked":
                message.body = await self._read_chunks(on_data)
            else:
                length = int(message.header("content-length", "0"))
                message.body = await self._take(length)
        except Disconnected:
            message.complete = False
        return message

    async def read_raw(self, seconds):
        """Returns all bytes that arrive within `seconds`."""
        try:
            await asyncio.wait_for(self.closed.wait(), seconds)
        except asyncio.TimeoutError:
            pass
        return bytes(self._buffer)

    def write(self, data):
        if not self.closed.is_set():
            self.transport.write(data)

    def close(self):
        if self.transport is not None:
            self.transport.close()


def encode(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_answer(status, headers, body=b""):
    headers = list(headers) + [("Content-Length", len(body))]
    return encode(f"HTTP/1.1 {status} Status", headers, body)


async def serve(address, on_connection):
    """Serves connections at `address` ("IP:PORT")."""
    ip, port = address.split(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Connection(on_connection), ip, int(port), backlog=1024
    )


async def connect(address, local_ip=None):
    ip, port = address.split(":")
    loop = asyncio.get_running_loop()
    local = (local_ip, 0) if local_ip else None
    _, connection = await loop.create_connection(
        Connection, ip, int(port), local_addr=local
    )
    return connection
