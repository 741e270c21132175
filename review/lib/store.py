"""A stand-in of the platform's metadata store (PROTOCOL.md, "The platform's
metadata store"): linearizable reads, paged listings and watches."""

import asyncio
import base64
import json
import urllib.parse

from . import http1

PAGE_ITEMS = 500


class Store:
    def __init__(self, address, record):
        self.address = address
        self._record = record
        self._items = {}
        self._events = []
        self._revision = 10
        self._changed = asyncio.Event()

    async def start(self):
        self._server = await http1.serve(self.address, self._serve)

    def put(self, key, value):
        """Writes `value` (an object) and returns once it is acknowledged."""
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self._items.get(key, {}).get("created_revision", self._revision)
        item = {
            "key": key,
            "value": text,
            "revision": self._revision,
            "created_revision": created,
            "lease_id": 0,
        }
        self._items[key] = item
        self._add_event(item)

    def delete(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._add_event({"key": key, "revision": self._revision, "deleted": True})

    def _add_event(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, connection):
        try:
            while True:
                request = await connection.read_message()
                await self._answer(connection, request)
        except http1.Disconnected:
            pass

    async def _answer(self, connection, request):
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        if request.path == "/v1/kv-range":
            body = self._list(query)
        elif request.path == "/v1/kv-watch":
            body = await self._watch(query)
        elif request.path == "/v1/kv-key":
            body = self._items.get(query.get("key"))
        else:
            body = None
        status = 200 if body is not None else 404
        connection.write(
            http1.encode_answer(
                status,
                [("Content-Type", "application/json")],
                json.dumps(body or {}).encode(),
            )
        )

    def _list(self, query):
        prefix = query.get("path_prefix", "")
        after = query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return {
            "items": [self._items[k] for k in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "at": self._revision,
        }

    async def _watch(self, query):
        prefix = query.get("path_prefix", "")
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["wait_timeout_ms"]) / 1000
        while True:
            events = [
                e
                for e in self._events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return {"events": events, "at": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass
