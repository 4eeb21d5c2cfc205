"""Stand-in for the platform's metadata store."""

from __future__ import annotations

import asyncio
from copy import deepcopy
from dataclasses import dataclass
import json
from typing import Any, Final

from aiohttp.web import (
    Application,
    AppRunner,
    Request,
    Response,
    StreamResponse,
    TCPSite,
)

from review.standins.record import Record

ANSWER_SECONDS: Final = 0.004


def json_response(document: Any, status: int = 200) -> Response:  # noqa: ANN401
    """Return an answer with a JSON body."""
    texts: list[str] = []

    def replace_raw(value: object) -> str:
        texts.append(getattr(value, "text", ""))
        return f"@raw {len(texts) - 1}@"

    body = json.dumps(document, default=replace_raw)
    for number, text in enumerate(texts):
        body = body.replace(f'"@raw {number}@"', text)
    return Response(text=body, status=status, content_type="application/json")


@dataclass(frozen=True)
class RawJson:
    """JSON text of a content that another writer stored."""

    text: str


@dataclass(frozen=True, kw_only=True)
class Copy:
    """A copy of the store's content."""

    objects: dict[tuple[str, str], dict[str, Any]]
    revision: int


class Store:
    """Objects by kind and name, with revisions, watches, outages and restores."""

    def __init__(self, host: str, record: Record) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.address = ""
        self.era = 1
        self.is_away = False
        """Whether calls are answered with 503."""

        self._host = host
        self._record = record
        self._revision = 10
        self._oldest = 0
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._runner: AppRunner | None = None

    async def async_start(self) -> None:
        """Listen on a free port."""
        app = Application()
        app.on_response_prepare.append(self._async_add_era)
        app.router.add_route("*", "/api/objects/{kind}", self._async_kind)
        app.router.add_route("*", "/api/objects/{kind}/{name}", self._async_object)
        app.router.add_route(
            "PUT", "/api/objects/{kind}/{name}/status", self._async_status
        )
        self._runner = AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await TCPSite(self._runner, self._host, 0).start()
        self.address = f"{self._host}:{self._runner.addresses[0][1]}"

    async def async_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, kind: str, name: str, content: Any) -> None:  # noqa: ANN401
        """Write an object, as the operator and the upstreams do."""
        self._replace(kind, name, specification=content)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name))
        self._revision += 1
        item = deepcopy(item)
        item["metadata"]["revision"] = self._revision
        self._add_event(kind, item, deleted=True)

    def content(self, kind: str, name: str) -> Any:  # noqa: ANN401
        """Return what an object contains, None if it does not exist."""
        item = self.objects.get((kind, name))
        return None if item is None else item["specification"]

    def copy(self) -> Copy:
        """Return a copy of the content."""
        return Copy(objects=deepcopy(self.objects), revision=self._revision)

    def restore(self, copy: Copy) -> None:
        """Come back from a copy; what was written since is lost."""
        self.objects = deepcopy(copy.objects)
        self._revision = self._oldest = copy.revision
        self._events.clear()
        self.era += 1
        self._wake_watches()

    def _replace(self, kind: str, name: str, **parts: Any) -> dict[str, Any]:  # noqa: ANN401
        previous = self.objects.get((kind, name))
        if previous is not None and all(
            previous[part] == value for part, value in parts.items()
        ):
            return previous
        self._revision += 1
        item = {"specification": None, "status": None}
        created = self._revision
        if previous is not None:
            item = {part: previous[part] for part in item}
            created = previous["metadata"]["create_rev"]
        metadata = {
            "name": name,
            "revision": self._revision,
            "create_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        stored: dict[str, Any] = {"metadata": metadata, **item, **parts}
        self.objects[kind, name] = stored
        self._add_event(kind, stored, deleted=False)
        return stored

    def _add_event(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._events.append((self._revision, kind, item, deleted))
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _async_add_era(self, request: Request, response: StreamResponse) -> None:
        response.headers["Store-Era"] = str(self.era)

    async def _async_kind(self, request: Request) -> Response:
        await asyncio.sleep(ANSWER_SECONDS)
        if self.is_away:
            return Response(status=503)
        kind = request.match_info["kind"]
        if request.method == "POST":
            document = await request.json()
            name = document["metadata"]["name"]
            return self._create(kind, name, document)
        if "watch" in request.query:
            return await self._async_watch(kind, request)
        after = request.query.get("after", "")
        items = [
            item
            for (found, name), item in sorted(self.objects.items())
            if found == kind and name > after
        ]
        return json_response({"items": items, "more": False, "at": self._revision})

    def _create(self, kind: str, name: str, document: dict[str, Any]) -> Response:
        if (kind, name) in self.objects:
            return json_response(self.objects[kind, name], status=409)
        stored = self._replace(kind, name, specification=document["specification"])
        self._note_write(kind, name, stored)
        return json_response(stored)

    async def _async_object(self, request: Request) -> Response:
        await asyncio.sleep(ANSWER_SECONDS)
        if self.is_away:
            return Response(status=503)
        kind, name = request.match_info["kind"], request.match_info["name"]
        existing = self.objects.get((kind, name))
        if existing is None:
            return Response(status=404)
        if request.method == "GET":
            return json_response(existing)
        document: dict[str, Any] = {"metadata": {}}
        if request.method == "PUT":
            document = await request.json()
        expected = document["metadata"].get("revision") or request.query.get("revision")
        if expected and int(expected) != existing["metadata"]["revision"]:
            return json_response(existing, status=409)
        if request.method == "DELETE":
            self.remove(kind, name)
            return json_response({})
        stored = self._replace(kind, name, specification=document["specification"])
        self._note_write(kind, name, stored)
        return json_response(stored)

    async def _async_status(self, request: Request) -> Response:
        await asyncio.sleep(ANSWER_SECONDS)
        if self.is_away:
            return Response(status=503)
        kind, name = request.match_info["kind"], request.match_info["name"]
        if (kind, name) not in self.objects:
            return Response(status=404)
        document = await request.json()
        return json_response(self._replace(kind, name, status=document["status"]))

    def _note_write(self, kind: str, name: str, stored: dict[str, Any]) -> None:
        if kind == "swiftpin-keys":
            revision = stored["metadata"]["revision"]
            self._record.add("store write", kind=kind, name=name, revision=revision)

    async def _async_watch(self, kind: str, request: Request) -> Response:
        since = int(request.query["watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query["wait_ms"]) / 1000
        while True:
            if self.is_away:
                return Response(status=503)
            if since < self._oldest or since > self._revision:
                return Response(status=410)
            events = [
                {"object": item, "deleted": deleted}
                for revision, found, item, deleted in self._events
                if revision > since and found == kind
            ]
            if events or loop.time() >= until:
                return json_response({"events": events, "at": self._revision})
            changed = self._changed
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                continue
