"""A service of application servers that take orders, as in the site files."""

from .deployment import make_config
from .store import Store

SLOTS = 6
BODY = b"order"


def route():
    """The route of the orders, which may run at most once."""
    return {
        "name": "r-order",
        "host": "shop.example",
        "path_prefix": "/order/",
        "kind": "non_idempotent",
        "timeout_ms": 4000,
        "target_latency_ms": 300,
        "priority": 2,
        "service": "desk",
        "max_attempts": 2,
        "sticky": False,
        "resumable": False,
    }


def service():
    return {
        "name": "desk",
        "health_path": "/health",
        "connection_limit": 192,
        "protocol": "h1",
        "tls": False,
    }


class Orders:
    """The store, the application servers and the routers."""

    def __init__(self, record, deployment):
        self.record = record
        self.deployment = deployment
        self.store = Store(deployment.store_address, record)
        self.engines = []
        self.fronts = []  # Addresses of the routers.

    async def start(self, engine_class, engines, routers, work_s):
        """Starts the processes and waits until all routers are ready.
        `work_s()` is the time that an engine works on a request."""
        await self.store.start()
        self.store.put("op/config", make_config(3, [route()], [service()]))
        for index in range(engines):
            engine = engine_class(
                self.store,
                self.record,
                f"i-{index}",
                "desk",
                self.deployment.app_engine_address(index),
                "z1",
                SLOTS,
                work_s=work_s,
            )
            await engine.start()
            self.engines.append(engine)
        for index in range(routers):
            router = self.deployment.add_router(index)
            self.fronts.append(self.deployment.front(router))
        await self.deployment.wait_until_ready()
