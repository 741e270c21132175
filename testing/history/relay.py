"""TCP relays on loopback that drop or delay data or close connections."""

import asyncio
import threading

READ_BYTES = 65536


class _Connection:
    """One relayed connection; data in `dropped` directions is discarded."""

    def __init__(self):
        self.dropped = set()
        self.tasks = []
        self.writers = []

    def close(self):
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.close()


class Relay:
    """Forwards connections to `target`, an address "HOST:PORT".

    Assigning to `target` affects new connections only. Directions: "up" is
    towards the target, "down" is towards the client.

    Thread safety: all methods but `listen`, which runs on the loop, may be
    called from any thread. They return before the loop applies the change.
    """

    def __init__(self, loop, target):
        self._loop = loop
        self._connections = set()
        self._drop_new = set()
        self._delay_s = 0.0
        self.target = target
        self.address = ""

    # Listens on a free loopback port and sets `address`.
    async def listen(self):
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._server = server

    async def _accept(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection()
        connection.dropped = set(self._drop_new)
        connection.writers = [writer, up_writer]
        self._connections.add(connection)
        connection.tasks = [
            asyncio.ensure_future(self._pump(connection, "up", reader, up_writer)),
            asyncio.ensure_future(self._pump(connection, "down", up_reader, writer)),
        ]
        await asyncio.wait(connection.tasks)
        connection.close()
        self._connections.discard(connection)

    async def _pump(self, connection, direction, reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                if direction not in connection.dropped:
                    writer.write(data)
                    await writer.drain()
            if direction not in connection.dropped:
                writer.write_eof()
        except OSError:
            if direction not in connection.dropped:
                writer.transport.abort()

    def _call(self, function):
        self._loop.call_soon_threadsafe(function)

    def silence(self, directions=("up", "down"), include_new=False):
        """Discards all data of open connections without closing them.

        With `include_new`, also that of connections opened until `restore`.
        """

        def apply():
            for connection in self._connections:
                connection.dropped |= set(directions)
            if include_new:
                self._drop_new = set(directions)

        self._call(apply)

    # Delays each read of data by `seconds` until `restore`.
    def delay(self, seconds):
        def apply():
            self._delay_s = seconds

        self._call(apply)

    def cut(self):
        """Closes all open connections."""

        def apply():
            for connection in list(self._connections):
                connection.close()

        self._call(apply)

    def end_silent(self):
        """Closes open connections that discard data in some direction."""

        def apply():
            for connection in list(self._connections):
                if connection.dropped:
                    connection.close()

        self._call(apply)

    def restore(self):
        """Ends delays and the silence of new connections.

        Open connections that discard data go on doing so.
        """

        def apply():
            self._drop_new = set()
            self._delay_s = 0.0

        self._call(apply)


class Relays:
    """Owns the event loop thread on which all relays run."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    # Returns a listening relay to `target`.
    def add(self, target):
        relay = Relay(self._loop, target)
        asyncio.run_coroutine_threadsafe(relay.listen(), self._loop).result(10)
        return relay

    # Ends all connections and the thread.
    def stop(self):
        async def cancel_all():
            tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(cancel_all(), self._loop).result(10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
