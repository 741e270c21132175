"""A deployment of model engines and their adapters, as in presa-sofia."""

import random

from .clients import Client
from .deployment import make_config
from .engines import ModelEngine
from .store import Store

MODEL = "daka510000"
SLOTS = 64
PLACES = 16
PATH = "/advice/1"
DEADLINE_MS = 10000


def route():
    """The route of the requests that are answered later."""
    return {
        "name": "r-queued",
        "host": "shop.example",
        "path_prefix": "/advice/",
        "kind": "streaming",
        "timeout_ms": 10000,
        "target_latency_ms": 1000,
        "target_gap_ms": 400,
        "priority": 1,
        "service": "models",
        "max_attempts": 2,
        "sticky": True,
        "resumable": True,
    }


def service():
    """The service of the model engines."""
    model = {
        "name": MODEL,
        "weights_mb": 65100.0,
        "load_time_s": 1.9,
        "adapters": 3000,
        "adapter_size_mb": 66.0,
        "warmup_s": 0.8,
        "disk_load_s": 1.7,
    }
    engine = {
        "slots": SLOTS,
        "kv_capacity_tokens": 249466,
        "models": [model],
        "weights_mb": 67000.0,
        "adapter_capacity": PLACES,
        "loads_per_s": 3.1,
    }
    return {
        "name": "models",
        "health_path": "/health",
        "connection_limit": 740,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }


def headers(adapter):
    """The headers of a request for `adapter`."""
    return [
        ("Model", f"{MODEL}/{adapter}"),
        ("Token-Usage", "646,70"),
        ("Prompt-Prefix", f"5c1e07a2:155,{random.getrandbits(32):08x}:491"),
    ]


class Models:
    """The store, the engines with their agents, the routers and clients."""

    def __init__(self, record, deployment, adapters, engine_class=ModelEngine):
        self.engine_class = engine_class
        self.record = record
        self.deployment = deployment
        self.newest = {adapter: 1 for adapter in adapters}
        self.store = Store(deployment.store_address, record)
        self.engines = []
        self.agents = []
        self.clients = []

    async def start(self, engines, routers):
        """Starts `engines` engines, each in a zone of its own, and `routers`
        routers in the zone of the first, and waits until all are ready."""
        await self.store.start()
        self.store.put("op/config", make_config(3, [route()], [service()]))
        for index in range(engines):
            zone = f"z{index + 1}"
            engine = self.engine_class(
                self.store,
                self.record,
                f"i-{index + 1}",
                "models",
                self.deployment.side_engine_address(index),
                zone,
                SLOTS,
                model=MODEL,
                places=PLACES,
                versions=self.newest,
            )
            await engine.start()
            self.engines.append(engine)
            self.agents.append(self.deployment.add_agent(index, zone))
        for index in range(routers):
            router = self.deployment.add_router(index, "z1")
            address = self.deployment.front(router)
            self.clients.append(Client(address, self.record))
        await self.deployment.wait_until_ready()

    async def ask(self, adapter):
        """Sends a request for `adapter` to one of the routers."""
        client = random.choice(self.clients)
        return await client.send(
            "POST", PATH, headers(adapter), b"p" * 1300, DEADLINE_MS
        )
