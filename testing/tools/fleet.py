"""Starts a fleet of amaranthcove processes and stand-ins on loopback.

Every process listens on a free port. `Fleet.stop` ends all processes; leaving
the `with` block calls it, also after an exception.
"""

import dataclasses
import http.client
import json
import os
import pathlib
import re
import secrets
import signal
import subprocess
import threading
import time

START_LIMIT_S = 30
STOP_LIMIT_S = 30


class Process:
    """A child process. A thread reads its stdout; stderr goes to `log_path`."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.log_path = log_path
        with open(log_path, "ab") as log:
            self._child = subprocess.Popen(
                [str(part) for part in command],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        self._lines = []
        self._changed = threading.Condition()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self._child.stdout:
            with self._changed:
                self._lines.append(line.rstrip("\n"))
                self._changed.notify_all()
        with self._changed:
            self._lines.append(None)
            self._changed.notify_all()

    def wait_for_lines(self, pattern, count=1):
        """Waits for `count` lines that match `pattern` and returns the matches.

        Raises RuntimeError if the process closes its stdout before, or after
        START_LIMIT_S seconds.
        """
        end = time.monotonic() + START_LIMIT_S
        with self._changed:
            while True:
                lines = [line for line in self._lines if line is not None]
                found = [m for m in map(re.compile(pattern).match, lines) if m]
                if len(found) >= count:
                    return found[:count]
                left = end - time.monotonic()
                if None in self._lines or left <= 0:
                    raise RuntimeError(
                        f"{self.name} did not start; see {self.log_path}"
                    )
                self._changed.wait(left)

    @property
    def pid(self):
        return self._child.pid

    def running(self):
        return self._child.poll() is None

    def signal(self, number):
        if self.running():
            self._child.send_signal(number)

    def wait(self, limit_s=STOP_LIMIT_S):
        """Returns the exit code, or None if it still runs after `limit_s`."""
        try:
            return self._child.wait(limit_s)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        self.signal(signal.SIGKILL)
        self._child.wait()


@dataclasses.dataclass
class Response:
    """An HTTP response.

    If it is incomplete, `whole` is False and `body` is a part of it, perhaps
    empty.
    """

    status: int
    headers: dict
    body: bytes
    whole: bool = True

    def json(self):
        return json.loads(self.body)


def request(address, method, path, body=None, headers=None, timeout_s=30):
    """Sends one HTTP request and returns the response.

    A dict or list as `body` is sent as JSON. Raises OSError if no response
    begins, or if the connection fails within the body.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        response_headers = {k.lower(): v for k, v in response.getheaders()}
        try:
            return Response(response.status, response_headers, response.read())
        except http.client.IncompleteRead as error:
            return Response(response.status, response_headers, error.partial, False)
        except ValueError:
            return Response(response.status, response_headers, b"", False)
    except http.client.HTTPException as error:
        raise ConnectionError(str(error)) from error
    finally:
        connection.close()


@dataclasses.dataclass
class Node:
    """One amaranthd process and its settings, with which it can be restarted."""

    instance: str
    role: str
    settings: str
    data_centre: str
    backend: dict = None
    process: Process = None
    admin: str = ""
    peer: str = ""
    http: str = ""

    def dump(self):
        return request(self.admin, "GET", "/dump").json()


class Fleet:
    """The stand-ins, entries and sidecars of one deployment.

    `folder` takes the settings, the cluster key and the logs; `build` is a build
    folder with the programs in bin/.
    """

    def __init__(self, build, folder, region="region-1", daemon="amaranthd"):
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.region = region
        self.daemon = daemon
        self.processes = []
        self.nodes = {}
        self.platform = ""
        self.store = ""
        self.key = self.folder / "cluster.key"
        self.key.write_text(secrets.token_hex(32))
        self.revisions = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def _spawn(self, name, command):
        process = Process(name, command, self.folder / f"{name}.log")
        self.processes.append(process)
        return process

    def standin(self, kind, name, count=1, options=()):
        """Starts `count` stand-ins in one process.

        Returns the process and the list of addresses.
        """
        command = [self.build / "bin" / "standin", kind]
        command += ["--listen", "127.0.0.1:0"] * count
        command += options
        process = self._spawn(name, command)
        lines = process.wait_for_lines(r"listening \S+ (\d+) (\S+)", count)
        return process, [match.group(2) for match in lines]

    def start_platform(self, options=()):
        process, (self.platform,) = self.standin(
            "platform", "platform", 1, options
        )
        return process

    def start_store(self, options=()):
        process, (self.store,) = self.standin("weights", "weights", 1, options)
        return process

    # Sends a test command to a stand-in. Returns the JSON of the response, or None
    # if it has no body. Raises RuntimeError unless the status is 200.
    def control(self, address, command):
        answer = request(address, "POST", "/_control", command)
        if answer.status != 200:
            raise RuntimeError(f"{address}: {command}: {answer.body!r}")
        return answer.json() if answer.body else None

    def put_document(self, team, text):
        self.control(
            self.platform, {"put_documents": [{"team": team, "text": text}]}
        )

    # Adds a node to the platform's instance list, or changes its state.
    def put_instance(self, node, state="live"):
        record = {
            "instance": node.instance,
            "role": node.role,
            "address": node.peer,
            "region": self.region,
            "data_centre": node.data_centre,
            "state": state,
        }
        if node.backend:
            record["backend"] = node.backend
        self.control(self.platform, {"put_instances": [record]})

    def _settings(self, instance, role, data_centre, section):
        path = self.folder / f"{instance}.ini"
        lines = [
            "[process]",
            f"role = {role}",
            f"instance = {instance}",
            f"region = {self.region}",
            f"data_centre = {data_centre}",
            "admin_address = 127.0.0.1:0",
            "peer_address = 127.0.0.1:0",
            f"cluster_key_file = {self.key}",
            "log_level = info",
        ]
        if role == "entry":
            lines.append(f"platform = {self.platform}")
        lines.append(f"[{role}]")
        lines += [f"{key} = {value}" for key, value in section.items()]
        path.write_text("\n".join(lines) + "\n")
        return path

    def add_entry(self, instance, data_centre="dc-1", drain_ms=200):
        settings = self._settings(
            instance,
            "entry",
            data_centre,
            {"http_address": "127.0.0.1:0", "drain_ms": drain_ms},
        )
        return self._start(Node(instance, "entry", settings, data_centre))

    def add_engine_sidecar(
        self, instance, engine, data_centre="dc-1", base_model="base-1", **more
    ):
        section = {
            "backend_kind": "engine",
            "backend_address": engine,
            "base_model": base_model,
            "engines": 1,
        }
        section.update(more)
        settings = self._settings(instance, "sidecar", data_centre, section)
        backend = {"kind": "engine", "base_model": base_model}
        return self._start(
            Node(instance, "sidecar", settings, data_centre, backend)
        )

    def add_plain_sidecar(
        self, instance, server, team, service, data_centre="dc-1"
    ):
        section = {
            "backend_kind": "plain",
            "backend_address": server,
            "team": team,
            "service": service,
        }
        settings = self._settings(instance, "sidecar", data_centre, section)
        backend = {"kind": "plain", "team": team, "service": service}
        return self._start(
            Node(instance, "sidecar", settings, data_centre, backend)
        )

    def _start(self, node, announce=True):
        daemon = self.build / "bin" / self.daemon
        node.process = self._spawn(
            node.instance, [daemon, "--settings", node.settings]
        )
        (match,) = node.process.wait_for_lines(
            r"ready \S+ admin=(\S+) peer=(\S+)(?: http=(\S+))?"
        )
        node.admin, node.peer, node.http = match.groups()
        self.nodes[node.instance] = node
        if announce:
            self.put_instance(node)
        return node

    def restart(self, node, announce=True):
        """Starts a node again, as a new incarnation on new ports."""
        return self._start(node, announce)

    def wait_until(self, condition, what, limit_s=START_LIMIT_S):
        """Polls `condition` until it is true; raises RuntimeError at the limit.

        `what` names the awaited state in the error text.
        """
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise RuntimeError(f"timed out after {limit_s} s: {what}")

    def wait_ready(self):
        """Waits until every node is ready and every entry lists all sidecars."""
        sidecars = {n.instance for n in self.nodes.values() if n.role != "entry"}

        def ready():
            for node in self.nodes.values():
                if request(node.admin, "GET", "/readyz").status != 200:
                    return False
                if node.role == "entry":
                    known = node.dump()["instances"]
                    if not sidecars <= set(known):
                        return False
            return True

        self.wait_until(ready, "all nodes are ready")

    def stop_gracefully(self, limit_s=STOP_LIMIT_S):
        """Stops entries, then sidecars, with SIGTERM.

        Returns exit codes other than 0 by instance name; None stands for a process
        that still runs after `limit_s`.
        """
        bad = {}
        for role in ("entry", "sidecar"):
            nodes = [n for n in self.nodes.values() if n.role == role]
            for node in nodes:
                node.process.signal(signal.SIGTERM)
            for node in nodes:
                code = node.process.wait(limit_s)
                if code != 0:
                    bad[node.instance] = code
        return bad

    # Ends all processes with SIGTERM, and with SIGKILL after 3 s. SIGCONT lets
    # paused processes handle SIGTERM.
    def stop(self):
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        end = time.monotonic() + 3
        for process in self.processes:
            if process.wait(max(0.0, end - time.monotonic())) is None:
                process.kill()


# Returns the build folder: $AMARANTHCOVE_BUILD, by default build/release.
def default_build():
    root = pathlib.Path(__file__).resolve().parents[2]
    return os.environ.get("AMARANTHCOVE_BUILD", root / "build" / "release")
