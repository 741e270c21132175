"""Stand-ins of the engines: an application server and a model engine, as
PROTOCOL.md describes them ("Requests", "Engines")."""

import asyncio
import json
import time

from . import http1

HEARTBEAT_S = 1.2
QUEUE_LIMIT = 24
EVENT_INTERVAL_S = 0.02
PROMPT_TOKENS_PER_S = 38100
LOAD_S = 0.25


class Engine:
    """The parts that both kinds share: slots, queue, entry in the store.

    `latency_s` is the time that a message takes one way between the engine and
    the machines of the system.
    """

    latency_s = 0.0

    def __init__(self, store, record, name, service, address, zone, slots):
        self.store = store
        self.record = record
        self.id = name
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.runs = []  # Attempt ids, one for each run that began.
        self.active = 0
        self.waiting = []
        self._beats = 0
        self._connections = set()

    async def start(self):
        self._server = await http1.serve(self.address, self._serve)
        self._heartbeat = asyncio.ensure_future(self._beat())

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": self.born,
            "sequence": self._beats,
        }

    async def _beat(self):
        while True:
            self._beats += 1
            self.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, connection):
        self._connections.add(connection)
        try:
            while True:
                request = await connection.read_message()
                if not request.complete:
                    return
                if self.latency_s > 0:
                    await asyncio.sleep(self.latency_s)
                await self.handle(connection, request)
        except http1.Disconnected:
            pass
        finally:
            self._connections.discard(connection)
            connection.close()

    def answer(self, connection, request, status, headers=(), body=b""):
        """Sends an answer. Engines echo the id of the attempt."""
        attempt = request.header("attempt-id")
        known = [("Attempt-Id", attempt)] if attempt else []
        data = http1.encode_answer(status, known + list(headers), body)
        self.send(connection, data)
        return data

    def send(self, connection, data):
        if self.latency_s > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(self.latency_s, connection.write, data)
        else:
            connection.write(data)

    def note(self, text):
        self.record.write(f"{self.id} {text}")

    async def take_slot(self, connection, deadline_s):
        """Waits for a slot. Returns "ok", "full", "late" or "gone"."""
        if self.active < self.slots:
            self.active += 1
            return "ok"
        if len(self.waiting) >= QUEUE_LIMIT:
            return "full"
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        gone = asyncio.ensure_future(connection.closed.wait())
        done, _ = await asyncio.wait(
            {turn, gone}, timeout=deadline_s, return_when=asyncio.FIRST_COMPLETED
        )
        gone.cancel()
        if turn in done:
            return "ok"
        self.waiting.remove(turn)
        return "gone" if done else "late"

    def free_slot(self):
        if self.waiting:
            self.waiting.pop(0).set_result(None)
        else:
            self.active -= 1

    async def work(self, connection, seconds):
        """Works for `seconds`; returns False if the connection closes."""
        try:
            await asyncio.wait_for(connection.closed.wait(), seconds)
            return False
        except asyncio.TimeoutError:
            return True


class PlainEngine(Engine):
    """An application server that runs each request for `work_s()` seconds."""

    def __init__(self, *args, work_s):
        super().__init__(*args)
        self._work_s = work_s

    async def handle(self, connection, request):
        attempt = request.header("attempt-id")
        if request.path == "/health":
            self.answer(connection, request, 200, [("Instance-Id", self.id)])
            return
        if request.header("expected-instance", self.id) != self.id:
            self.note(f"rejects {attempt} 421")
            self.reject(connection, request, 421)
            return
        deadline_s = int(request.header("deadline-ms", "60000")) / 1000
        slot = await self.take_slot(connection, deadline_s)
        if slot in ("full", "late"):
            self.note(f"rejects {attempt} 503")
            self.reject(connection, request, 503)
            return
        if slot == "gone":
            return
        try:
            await self.run(connection, request)
        finally:
            self.free_slot()

    async def run(self, connection, request):
        attempt = request.header("attempt-id")
        self.runs.append(attempt)
        self.note(f"runs {attempt} {request.method} {request.target}")
        if not await self.work(connection, self._work_s()):
            self.note(f"drops {attempt}: connection closed")
            return
        self.note(f"answers {attempt} 200")
        self.finish(connection, request)

    def reject(self, connection, request, status):
        headers = [("Not-Executed", "1"), ("Instance-Id", self.id)]
        self.answer(connection, request, status, headers)

    def finish(self, connection, request):
        headers = [("Response-Signature", f"{self.id}.{len(self.runs)}")]
        self.answer(connection, request, 200, headers, b"x" * 800)


class ModelEngine(Engine):
    """A model engine: adapters, orders, reports and streams of events."""

    def __init__(self, *args, model, places, versions):
        super().__init__(*args)
        self.model = model
        self.places = places
        self.newest = versions  # Newest version of each adapter in the store.
        self.adapters = {}
        self.pending = {}
        self.sequence = 0
        self.fence = 0
        self.began = []  # (time, attempt id, adapter, version) of each run.
        self.orders = []  # (time, holder, fencing token)

    def entry(self):
        return dict(super().entry(), stage="unified", models=self.models())

    def models(self):
        names = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": self.model, "version": 1, "adapters": names}]

    def report(self):
        return {
            "stage": "unified",
            "models": self.models(),
            "pending": [f"{self.model}/{n}@{v}" for n, v in self.pending.items()],
            "busy": False,
            "sequence": self.sequence,
            "queued": len(self.waiting),
            "active": self.active,
            "kv_used_tokens": 0,
            "kv_total_tokens": 200000,
            "handled_models": 0,
            "born": self.born,
            "runs": [],
        }

    async def handle(self, connection, request):
        if request.path == "/v1/report":
            body = json.dumps(self.report()).encode()
            self.answer(connection, request, 200, [], body)
        elif request.path == "/v1/order":
            self.order(connection, request)
        else:
            await self.generate(connection, request)

    def order(self, connection, request):
        order = json.loads(request.body)
        adapter = order.get("adapter_name")
        token = order["fencing_token"]
        self.orders.append((self.record.now(), order["holder"], token))
        status = self.apply(order, adapter, token)
        self.note(f"order {request.body.decode()} -> {status}")
        self.answer(connection, request, status)

    def apply(self, order, adapter, token):
        if token < self.fence:
            return 412
        self.fence = token
        if order.get("expect", self.sequence) != self.sequence:
            return 409
        if order.get("model_name") != self.model:
            return 400
        if adapter is None:
            return 200
        if order["operation"] == "unloading":
            self.adapters.pop(adapter, None)
            self.sequence += 1
            return 200
        if adapter not in self.newest:
            return 400
        version = order.get("version", self.newest[adapter])
        if version in (self.adapters.get(adapter), self.pending.get(adapter)):
            return 200
        if adapter in self.pending:
            return 409
        self.pending[adapter] = version
        self.sequence += 1
        asyncio.get_running_loop().call_later(LOAD_S, self.loaded, adapter)
        return 202

    def loaded(self, adapter):
        self.adapters[adapter] = self.pending.pop(adapter)
        self.note(f"holds {adapter}@{self.adapters[adapter]}")

    def misdirected(self, request):
        """Returns why the request isn't for this engine, or None."""
        if request.header("expected-instance", self.id) != self.id:
            return "other instance"
        model, _, adapter = request.header("model").partition("/")
        if model != self.model or (adapter and adapter not in self.adapters):
            return "not present"
        expected = request.header("expected-version")
        if adapter and expected and int(expected) != self.adapters[adapter]:
            return "other version"
        return None

    async def generate(self, connection, request):
        attempt = request.header("attempt-id")
        reason = self.misdirected(request)
        if reason is not None:
            self.note(f"rejects {attempt} 421 {reason}")
            self.answer(
                connection,
                request,
                421,
                [("Not-Executed", "1"), ("Instance-Id", self.id)],
            )
            return
        deadline_s = int(request.header("deadline-ms", "60000")) / 1000
        slot = await self.take_slot(connection, deadline_s)
        if slot in ("full", "late"):
            self.answer(connection, request, 503, [("Not-Executed", "1")])
            return
        if slot == "gone":
            return
        try:
            await self.stream(connection, request)
        finally:
            self.free_slot()

    async def stream(self, connection, request):
        attempt = request.header("attempt-id")
        adapter = request.header("model").partition("/")[2]
        version = self.adapters.get(adapter, 1)
        tokens = int(request.header("token-usage", "100,10").split(",")[0])
        if not await self.work(connection, tokens / PROMPT_TOKENS_PER_S):
            return
        self.runs.append(attempt)
        self.began.append((self.record.now(), attempt, adapter, version))
        expected = request.header("expected-version", "none")
        self.note(f"begins {attempt} {adapter}@{version} expected {expected}")
        headers = [
            ("Attempt-Id", attempt),
            ("Response-Signature", f"{self.id}.{len(self.runs)}"),
            ("Weight-Versions", version),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        connection.write(http1.encode("HTTP/1.1 200 OK", headers))
        first = int(request.header("last-event-id", "0") or 0) + 1
        for number in range(first, 15):
            event = f"id: {number}\ndata: {self.id}\n\n".encode()
            connection.write(b"%x\r\n%s\r\n" % (len(event), event))
            if not await self.work(connection, EVENT_INTERVAL_S):
                self.note(f"drops {attempt}: connection closed")
                return
        connection.write(b"0\r\n\r\n")
