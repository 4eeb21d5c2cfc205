"""Stand-in for the platform's store with kinds, revisions, watches and outages."""

from __future__ import annotations

import asyncio
from copy import deepcopy
from dataclasses import dataclass
import json
from typing import Any

from aiohttp.web import (
    Application,
    AppRunner,
    Request,
    Response,
    StreamResponse,
    TCPSite,
)

HISTORY = 1000


@dataclass(frozen=True, kw_only=True)
class StoreBackup:
    """Backup of the store's content."""

    objects_by_path: dict[tuple[str, str], dict[str, Any]]
    revision: int


class StoreStandin:
    """Keeps objects in memory and implements the platform's HTTP API."""

    def __init__(self) -> None:
        self.objects_by_path: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 1
        self.is_busy = False
        self.is_silent = False
        self.refused_kinds: set[str] = set()
        """Kinds of objects whose calls get 503."""

        self.loses_writes = False
        """Whether writes are executed but not answered."""

        self.loses_watches = False
        """Whether the answers of watches that saw a change are lost."""

        self.lost_watches = 0
        self.era: str | None = None
        """Value of the `Store-Era` header, None for no header."""

        self.calls: list[str] = []
        self.address = ""
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest_revision = 0
        self._changed = asyncio.Event()
        self._runner: AppRunner | None = None

    async def async_setup(self) -> None:
        """Listen on a free port."""
        app = Application()
        app.on_response_prepare.append(self._async_add_era)
        app.router.add_route("*", "/api/objects/{kind}", self._async_kind)
        app.router.add_route("*", "/api/objects/{kind}/{name:.+}", self._async_object)
        self._runner = AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"

    async def async_unload(self) -> None:
        """Stop listening."""
        assert self._runner is not None
        await self._runner.cleanup()

    def put(self, kind: str, name: str, content: object) -> None:
        """Write an object, as operators and targets do."""
        existing = self.objects_by_path.get((kind, name))
        self.revision += 1
        created = (
            self.revision if existing is None else existing["metadata"]["create_rev"]
        )
        self._store(kind, name, created, content)

    def put_bytes(self, kind: str, name: str, content: bytes) -> None:
        """Write an object whose content is handed out byte for byte as written."""
        self.put(kind, name, content)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        removed = self.objects_by_path.pop((kind, name))
        removed["metadata"]["revision"] = self.revision
        self._append_event(kind, removed, deleted=True)

    def copy(self) -> StoreBackup:
        """Return a backup of the current content."""
        return StoreBackup(
            objects_by_path=deepcopy(self.objects_by_path), revision=self.revision
        )

    def restore(self, backup: StoreBackup) -> None:
        """Restore a backup; later writes are lost."""
        self.objects_by_path = deepcopy(backup.objects_by_path)
        self.revision = self._oldest_revision = backup.revision
        self._events.clear()
        self.era = str(int(self.era or 0) + 1)
        self._notify_watches()

    def without_kinds(self, backup: StoreBackup, *kinds: str) -> StoreBackup:
        """Return a backup from before the first objects of some kinds."""
        objects_by_path = {
            path: item
            for path, item in backup.objects_by_path.items()
            if path[0] not in kinds
        }
        return StoreBackup(objects_by_path=objects_by_path, revision=backup.revision)

    def forget_history(self) -> None:
        """Drop the history, so that watches from older revisions get 410."""
        self._oldest_revision = self.revision
        self._notify_watches()

    def _store(self, kind: str, name: str, created: int, content: object) -> None:
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "specification": content,
            "status": None,
        }
        self.objects_by_path[kind, name] = item
        self._append_event(kind, item, deleted=False)

    def _append_event(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._events.append((self.revision, kind, item, deleted))
        self._notify_watches()

    def _notify_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _async_add_era(self, request: Request, response: StreamResponse) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = self.era

    async def _async_outage(self, kind: str) -> Response | None:
        if self.is_silent:
            await asyncio.sleep(3600)
        is_refused = self.is_busy or kind in self.refused_kinds
        return Response(status=503) if is_refused else None

    async def _async_kind(self, request: Request) -> Response:
        self.calls.append(f"{request.method} {request.path_qs}")
        kind = request.match_info["kind"]
        if (outage := await self._async_outage(kind)) is not None:
            return outage
        if request.method == "POST":
            document = await request.json()
            name = document["metadata"]["name"]
            if (kind, name) in self.objects_by_path:
                return _answer(encode_object(self.objects_by_path[kind, name]), 409)
            return self._write(request, kind, name, document)
        if "watch" in request.query:
            return await self._async_watch(kind, request)
        items = [
            item
            for (item_kind, _), item in self.objects_by_path.items()
            if item_kind == kind
        ]
        encoded = b",".join(encode_object(item) for item in items)
        return _answer(
            b'{"items":[%s],"more":false,"at":%d}' % (encoded, self.revision)
        )

    async def _async_object(self, request: Request) -> Response:
        self.calls.append(f"{request.method} {request.path_qs}")
        kind, name = request.match_info["kind"], request.match_info["name"]
        if (outage := await self._async_outage(kind)) is not None:
            return outage
        existing = self.objects_by_path.get((kind, name))
        if existing is None:
            return Response(status=404)
        if request.method == "GET":
            return _answer(encode_object(existing))
        document = await request.json()
        expected = document["metadata"].get("revision")
        if expected not in (None, existing["metadata"]["revision"]):
            return _answer(encode_object(existing), 409)
        return self._write(request, kind, name, document)

    def _write(
        self, request: Request, kind: str, name: str, document: dict[str, Any]
    ) -> Response:
        self.put(kind, name, document["specification"])
        if self.loses_writes:
            assert request.transport is not None
            request.transport.abort()
        return _answer(encode_object(self.objects_by_path[kind, name]))

    async def _async_watch(self, kind: str, request: Request) -> Response:
        since = int(request.query["watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query["wait_ms"]) / 1000
        while True:
            if since < self._oldest_revision or since > self.revision:
                return Response(status=410)
            events = [
                encode_event(item, deleted=deleted)
                for revision, event_kind, item, deleted in self._events
                if revision > since and event_kind == kind
            ]
            if events and self.loses_watches:
                self.lost_watches += 1
                await asyncio.sleep(3600)
            if events or loop.time() >= until:
                encoded = b",".join(events)
                return _answer(b'{"events":[%s],"at":%d}' % (encoded, self.revision))
            changed = self._changed
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                continue
            if (outage := await self._async_outage(kind)) is not None:
                return outage


def encode_object(item: dict[str, Any]) -> bytes:
    """Return an object as JSON; content given as bytes is inserted unchanged."""
    content = item["specification"]
    if not isinstance(content, bytes):
        return json.dumps(item).encode()
    metadata = json.dumps(item["metadata"]).encode()
    return b'{"metadata":%s,"specification":%s,"status":null}' % (metadata, content)


def encode_event(item: dict[str, Any], *, deleted: bool) -> bytes:
    """Return a change of an object as JSON."""
    flag = json.dumps(deleted).encode()
    return b'{"deleted":%s,"object":%s}' % (flag, encode_object(item))


def _answer(body: bytes, status: int = 200) -> Response:
    """Return an answer with a JSON body."""
    return Response(body=body, status=status, content_type="application/json")
