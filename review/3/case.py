"""A request that crashes each engine that runs it, after its first event, is
never held back: it crashes engine after engine for as long as it comes again."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib.case import run_case, with_trouble  # noqa: E402
from lib.deployment import CannotRun  # noqa: E402
from lib.engines import EVENT_INTERVAL_S, ModelEngine  # noqa: E402
from lib.models import DEADLINE_MS, PATH, Models, headers  # noqa: E402

ADAPTERS = [f"a{number}" for number in range(1, 9)]
ENGINES = 4
ROUTERS = 2
BACK_S = 3.0  # "the engine is back after some seconds"
MODEL_LOAD_S = 0.8  # The model is still in the engine's memory (`warmup_s`).

# The deadly request comes again, with the same path, caller and body.
DEADLY_PARTS = "5c1e07a2:155,deadbeef:491"
EVENTS_BEFORE_CRASH = 1
AGAIN_S = 4.0
RUN_S = 80.0
USUAL_PER_S = 10

CONTACT_S = 3.0  # The bound `contact_timeout_ms`.
CRASHES = 3
RETRIES = 3


class MortalEngine(ModelEngine):
    """A model engine that the deadly request crashes."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.has_model = True
        self.crashes = []  # Times.
        self.deadly = []  # (time, attempt id) of the deadly runs.

    def models(self):
        return super().models() if self.has_model else []

    def misdirected(self, request):
        return super().misdirected(request) if self.has_model else "not present"

    def apply(self, order, adapter, token):
        if adapter is None and not self.has_model:
            loop = asyncio.get_running_loop()
            loop.call_later(MODEL_LOAD_S, self.load_model)
            return 202
        return super().apply(order, adapter, token)

    def load_model(self):
        self.has_model = True

    async def stream(self, connection, request):
        if request.header("prompt-prefix") == DEADLY_PARTS and with_trouble():
            attempt = request.header("attempt-id")
            self.deadly.append((self.record.now(), attempt))
            crash_s = 0.02 + EVENT_INTERVAL_S * (EVENTS_BEFORE_CRASH + 0.5)
            asyncio.get_running_loop().call_later(crash_s, self.crash)
        await super().stream(connection, request)

    def crash(self):
        if not self._server.is_serving():
            return
        self.crashes.append(self.record.now())
        self.note(f"crashes with {self.active} running requests")
        self._heartbeat.cancel()
        self._server.close()
        for connection in list(self._connections):
            connection.transport.abort()
        self.adapters.clear()
        self.pending.clear()
        self.has_model = False
        self.sequence = 0
        self.fence = 0
        asyncio.get_running_loop().call_later(
            BACK_S, lambda: asyncio.ensure_future(self.restart())
        )

    def loaded(self, adapter):
        if adapter in self.pending:
            super().loaded(adapter)

    async def restart(self):
        self.born = int(time.time() * 1000)
        await self.start()
        self.note("is back")


async def play(record, deployment):
    models = Models(record, deployment, ADAPTERS, MortalEngine)
    await models.start(ENGINES, ROUTERS)
    await asyncio.sleep(1)
    usual, deadly = [], []

    async def ask_for_deadly():
        fields = dict(headers(ADAPTERS[0]))
        fields["Prompt-Prefix"] = DEADLY_PARTS
        client = random.choice(models.clients)
        return await client.send(
            "POST", PATH, list(fields.items()), b"deadly" * 200, DEADLINE_MS
        )

    async def load():
        while True:
            adapter = random.choice(ADAPTERS)
            usual.append(asyncio.ensure_future(models.ask(adapter)))
            await asyncio.sleep(random.expovariate(USUAL_PER_S))

    loading = asyncio.ensure_future(load())
    end = record.now() + RUN_S
    while record.now() < end:
        deadly.append(asyncio.ensure_future(ask_for_deadly()))
        await asyncio.sleep(AGAIN_S)
    loading.cancel()
    await asyncio.gather(*deadly)
    return judge(models.engines, await asyncio.gather(*usual))


def judge(engines, usual):
    served = sum(1 for result in usual if result.status == 200 and result.whole)
    cut = sum(1 for result in usual if result.status == 200 and not result.whole)
    print(f"{len(usual)} usual requests, {served} served, {cut} cut off")
    if served < len(usual) / 4:
        raise CannotRun("less than a quarter of the usual requests were served")
    crashes = sorted(at for engine in engines for at in engine.crashes)
    print(f"{len(crashes)} crashes")
    if len(crashes) < CRASHES:
        return []
    third = crashes[CRASHES - 1]
    late = {
        attempt
        for engine in engines
        for at, attempt in engine.deadly
        if at > third + CONTACT_S
    }
    if len(late) <= RETRIES:
        return []
    return [
        f"BUDGET: the deadly request reached engines in {len(late)} retries sent "
        f"later than {CONTACT_S:.0f} s after its third crash, {len(crashes)} crashes"
    ]


if __name__ == "__main__":
    run_case(__file__, play)
