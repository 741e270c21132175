"""Starts amaranthd with the commands of the deploy file, on loopback."""

import asyncio
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

from . import http1

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/amaranthcove/boot.yaml"
RESTART_S = 0.5

# The bounds of presa-sofia.toml and duebelwerk.toml.
BOUNDS = {
    "drain_timeout_ms": 2000,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "retry_budget_extra": 104,
    "budget_window_s": 10,
    "grace_period_s": 8,
}


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(ips):
    """Returns a TCP and UDP port that is free on all of `ips`."""
    for _ in range(200):
        sockets = []
        try:
            first = socket.socket()
            sockets.append(first)
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                for ip in ips[1:] if kind == socket.SOCK_STREAM else ips:
                    other = socket.socket(socket.AF_INET, kind)
                    sockets.append(other)
                    other.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for item in sockets:
                item.close()
    raise CannotRun("no free port")


def render(template, fields):
    """Fills in the placeholders of a settings template."""

    def value(match):
        item = fields
        for key in match.group(1).split("."):
            item = item[int(key)] if isinstance(item, list) else item[key]
        return str(item)

    return re.sub(r"\{\{([a-z0-9_.]+)\}\}", value, template)


class Node:
    """One machine with one role; its process is restarted when it ends."""

    def __init__(self, role, fields, folder, record):
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        spec = deploy["roles"][role]
        self.name = fields["node_name"]
        self.fields = fields
        self.ends = []  # Exit codes of processes that ended by themselves.
        self._record = record
        self._stopping = False
        self._child = None
        settings = pathlib.Path(folder) / f"{self.name}.ini"
        template = (REPOSITORY / spec["template"]).read_text()
        settings.write_text(render(template, fields))
        words = spec["run"].split()
        self._command = [
            str(settings) if word == SETTINGS_PATH else word for word in words
        ]
        self._log = open(pathlib.Path(folder) / f"{self.name}.log", "ab")

    def start(self):
        program = REPOSITORY / self._command[0]
        if not program.exists():
            raise CannotRun(f"{program} is not built")
        self._child = subprocess.Popen(
            self._command,
            cwd=REPOSITORY,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.write(f"{self.name} starts")

    async def watch(self):
        """Restarts the process, after a short delay, whenever it ends."""
        while not self._stopping:
            if self._child.poll() is not None:
                self.ends.append(self._child.returncode)
                self._record.write(
                    f"{self.name} ended by itself, code {self._child.returncode}"
                )
                await asyncio.sleep(RESTART_S)
                self.start()
            await asyncio.sleep(0.05)

    def signal(self, number):
        self._record.write(f"{self.name} gets {signal.Signals(number).name}")
        os.kill(self._child.pid, number)

    def stop(self):
        self._stopping = True
        if self._child is not None and self._child.poll() is None:
            self._child.kill()
            self._child.wait()
        self._log.close()


class Deployment:
    """Routers and adapter agents beside one store."""

    def __init__(self, record, keep=False):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.nodes = []
        self._watches = []
        self._keep = keep
        self.router_ips = [f"127.0.2.{i}" for i in range(1, 5)]
        self.side_ips = [f"127.0.3.{i}" for i in range(1, 9)]
        self.app_ips = [f"127.0.4.{i}" for i in range(1, 9)]
        ips = self.router_ips + self.side_ips + self.app_ips + ["127.0.1.1"]
        ports = [free_port(ips) for _ in range(6)]
        if len(set(ports)) < len(ports):
            raise CannotRun("free ports repeat")
        self._store, self._engine, self._front, self._ready, *self._internal = ports
        self.store_address = f"127.0.1.1:{self._store}"

    def _add(self, role, name, ip, zone, **more):
        fields = {
            "node_name": name,
            "zone": zone,
            "ip_address": ip,
            "listen_addresses": {
                "frontend": f"{ip}:{self._front}",
                "ready": f"{ip}:{self._ready}",
            },
            "internal_port_range": self._internal,
            "platform": {"address": self.store_address},
            "bounds": BOUNDS,
            **more,
        }
        node = Node(role, fields, self.folder, self.record)
        self.nodes.append(node)
        node.start()
        self._watches.append(asyncio.ensure_future(node.watch()))
        return node

    def add_router(self, index, zone="z1"):
        return self._add("router", f"router-{index + 1}", self.router_ips[index], zone)

    def add_agent(self, index, zone="z1"):
        """Starts the agent beside the engine of the side machine `index`."""
        app = self.side_engine_address(index)
        name = f"side-{index + 1}"
        return self._add("adapter-agent", name, self.side_ips[index], zone, app=app)

    def side_engine_address(self, index):
        return f"{self.side_ips[index]}:{self._engine}"

    def app_engine_address(self, index):
        return f"{self.app_ips[index]}:{self._engine}"

    @staticmethod
    def front(node):
        return node.fields["listen_addresses"]["frontend"]

    async def wait_until_ready(self, seconds=15):
        end = asyncio.get_running_loop().time() + seconds
        for node in self.nodes:
            if not node.name.startswith("router"):
                continue
            while not await self._is_ready(node):
                if asyncio.get_running_loop().time() > end:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    async def _is_ready(self, node):
        address = node.fields["listen_addresses"]["ready"]
        try:
            connection = await http1.connect(address)
        except OSError:
            return False
        connection.write(
            http1.encode("GET /v1/readiness HTTP/1.1", [("Host", address)])
        )
        try:
            answer = await asyncio.wait_for(connection.read_message(), 1)
            return answer.status == 200
        except (asyncio.TimeoutError, http1.Disconnected):
            return False
        finally:
            connection.close()

    def stop(self):
        for task in self._watches:
            task.cancel()
        for node in self.nodes:
            node.stop()
        if not self._keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_config(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
