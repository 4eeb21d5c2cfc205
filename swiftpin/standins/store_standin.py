"""Stand-in of the platform's object store."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final

from aiohttp.web import BaseRequest, Response
from aiohttp.web_response import StreamResponse

from swiftpin.core import callback, monotonic_now
from swiftpin.helpers.address import Address
from swiftpin.helpers.event_wait import async_wait_event
from swiftpin.standins.http_standin import (
    ANY_PORT,
    CONTENT_TYPE_JSON,
    HttpStandin,
    json_response,
)
from swiftpin.standins.store_change import StoreChange
from swiftpin.standins.store_faults import StoreFaults
from swiftpin.standins.store_state import DEFAULT_HISTORY, StoreState
from swiftpin.standins.stored_version import StoredVersion
from swiftpin.standins.write_condition import parse_condition

PATH_OBJECTS: Final = "/v1/objects"
PATH_OBJECT: Final = "/v1/objects/"
PATH_WATCH: Final = "/v1/watch"
HEADER_INSTANCE: Final = "Swiftpin-Instance"
BODY_LIMIT: Final = 1024 * 1024
MAX_WAIT: Final = 300.0
"""Longest wait of a watch in seconds."""
FAULT_POLL: Final = 0.1
"""Seconds between a waiting watch's looks at the faults."""

COUNT_READS: Final = "reads"
COUNT_WRITES: Final = "writes"
COUNT_CONFLICTS: Final = "conflicts"
COUNT_WATCHES: Final = "watches"
COUNT_BYTES_IN: Final = "bytes_in"
COUNT_BYTES_OUT: Final = "bytes_out"


class StoreStandin(HttpStandin[StoreFaults]):
    """Versions, conditional writes, lists and watches, all in memory.

    `latency` is a delay of each call in seconds, besides that of the faults. The
    objects outlive a stop and a new start.
    """

    def __init__(
        self,
        *,
        address: Address | None = None,
        latency: float = 0.0,
        seed: int = 0,
        history: int = DEFAULT_HISTORY,
    ) -> None:
        super().__init__(StoreFaults(), address or ANY_PORT)
        self._latency = latency
        self._random = Random(seed)
        self._changed = asyncio.Event()
        self.state = StoreState(history)
        for name in (COUNT_READS, COUNT_WRITES, COUNT_CONFLICTS, COUNT_WATCHES):
            self.counters.add(name, 0.0, 0)

    async def _async_suffer(self, request: BaseRequest) -> None:
        """Wait as the settings and faults demand.

        The body is read before: a call whose caller gave up during a hang could not
        be carried out afterwards if its body still had to be read then.
        """
        if (request.content_length or 0) <= BODY_LIMIT:
            await request.read()
        if self._latency:
            await asyncio.sleep(self._latency)
        await super()._async_suffer(request)

    async def _async_handle(self, request: BaseRequest) -> StreamResponse:
        """Drop calls of blocked clients, answer others."""
        if self._is_blocked(request):
            return self.drop(request)
        response = await super()._async_handle(request)
        if isinstance(response, Response) and isinstance(response.body, bytes):
            self._count(COUNT_BYTES_OUT, len(response.body))
        return response

    async def _async_call(self, request: BaseRequest) -> StreamResponse:
        """Carry out one call of the store's interface."""
        path = request.path
        match request.method:
            case "GET" if path == PATH_OBJECTS:
                return self._list(request)
            case "GET" if path == PATH_WATCH:
                return await self._async_watch(request)
            case "GET" if path.startswith(PATH_OBJECT):
                return self._get(path.removeprefix(PATH_OBJECT))
            case "PUT" if path.startswith(PATH_OBJECT):
                return await self._async_put(request, path.removeprefix(PATH_OBJECT))
            case "DELETE" if path.startswith(PATH_OBJECT):
                return self._delete(request, path.removeprefix(PATH_OBJECT))
        return json_response({"error": "no such call"}, 404)

    @callback
    def _get(self, name: str) -> Response:
        """Answer a read of one object."""
        self._count(COUNT_READS)
        version = self.state.get(name, self._read_time())
        if version is None:
            return json_response({"error": "absent"}, 404)
        return Response(
            body=version.body,
            headers=_etag(version.version),
            content_type=CONTENT_TYPE_JSON,
        )

    @callback
    def _list(self, request: BaseRequest) -> Response:
        """Answer a list of the objects under a prefix."""
        self._count(COUNT_READS)
        prefix = request.query.get("prefix", "")
        bodies = request.query.get("bodies") == "1"
        snapshot = self.state.snapshot(prefix, self._read_time())
        objects = [
            _list_item(name, version, bodies)
            for name, version in sorted(snapshot.versions_by_name.items())
        ]
        return json_response({"revision": snapshot.revision, "objects": objects})

    async def _async_put(self, request: BaseRequest, name: str) -> Response:
        """Answer a write of one object."""
        self._count(COUNT_WRITES)
        if (request.content_length or 0) > BODY_LIMIT:
            return json_response({"error": "too large"}, 413)
        body = await request.read()
        self._count(COUNT_BYTES_IN, len(body))
        try:
            condition = parse_condition(request.headers)
        except ValueError:
            return json_response({"error": "malformed If-Match"}, 400)
        version = self.state.put(name, body, condition, monotonic_now())
        if version is None:
            return self._conflict(name)
        self._announce()
        return self._answer_write(
            request, json_response({"version": version}, headers=_etag(version))
        )

    @callback
    def _delete(self, request: BaseRequest, name: str) -> Response:
        """Answer a removal of one object."""
        self._count(COUNT_WRITES)
        try:
            condition = parse_condition(request.headers)
        except ValueError:
            return json_response({"error": "malformed If-Match"}, 400)
        if not self.state.version_of(name):
            return json_response({"error": "absent"}, 404)
        if not self.state.delete(name, condition, monotonic_now()):
            return self._conflict(name)
        self._announce()
        return self._answer_write(request, Response(status=204))

    async def _async_watch(self, request: BaseRequest) -> Response:
        """Answer as soon as something changed, or when the wait ends."""
        self._count(COUNT_WATCHES)
        try:
            after = int(request.query["after"])
            wait = float(request.query.get("wait", "0"))
        except (KeyError, ValueError):
            return json_response({"error": "after and wait are numbers"}, 400)
        prefix = request.query.get("prefix", "")
        ends_at = monotonic_now() + min(wait, MAX_WAIT)
        while True:
            if self._is_blocked(request):
                return self.drop(request)
            if self._faults.hang:
                await self.async_wait_hang(request)
            if self._faults.outage:
                return json_response({"error": "outage"}, 503)
            changes = self.state.changes_after(prefix, after)
            if changes is None:
                return json_response({"error": "list again"}, 410)
            left = ends_at - monotonic_now()
            if changes or left <= 0:
                return self._watch_answer(changes)
            await self._async_wait_change(min(left, FAULT_POLL))

    async def _async_wait_change(self, timeout: float) -> None:
        """Wait for a change under any name, at most `timeout` seconds."""
        await async_wait_event(self._changed, timeout)

    @callback
    def _watch_answer(self, changes: list[StoreChange]) -> Response:
        """Return the answer of a watch that ended."""
        events = [
            {
                "name": change.name,
                "version": change.version,
                "kind": "put" if change.after else "delete",
            }
            for change in changes
        ]
        return json_response({"revision": self.state.revision, "events": events})

    @callback
    def _answer_write(self, request: BaseRequest, response: Response) -> Response:
        """Return the answer of a write that took effect, or lose it."""
        if self._faults.lose_answer_next > 0:
            self._faults.lose_answer_next -= 1
            return self.drop(request)
        share = self._faults.lose_answer_share
        if share and self._random.random() < share:
            return self.drop(request)
        return response

    @callback
    def _conflict(self, name: str) -> Response:
        """Return the answer of a write that lost a race."""
        self._count(COUNT_CONFLICTS)
        version = self.state.version_of(name)
        headers = _etag(version) if version else None
        return json_response({"error": "condition failed"}, 412, headers)

    @callback
    def _announce(self) -> None:
        """Wake the waiting watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    @callback
    def _count(self, name: str, amount: int = 1) -> None:
        """Count a call or bytes."""
        self.counters.add(name, monotonic_now(), amount)

    def _read_time(self) -> float:
        """Return the time whose state reads show."""
        if not self._faults.stale_reads_ms:
            return float("inf")
        return monotonic_now() - self._faults.stale_reads_ms / 1000

    def _is_blocked(self, request: BaseRequest) -> bool:
        """Return whether the call comes from a client that is cut off."""
        if not self._faults.blocked_clients:
            return False
        instance = request.headers.get(HEADER_INSTANCE, "")
        blocked = self._faults.blocked_clients
        return instance in blocked or instance.partition("/")[0] in blocked


def _etag(version: int) -> dict[str, str]:
    """Return the header that carries a version."""
    return {"ETag": f'"{version}"'}


def _list_item(name: str, version: StoredVersion, bodies: bool) -> dict[str, object]:
    """Return one object of a list."""
    item: dict[str, object] = {"name": name, "version": version.version}
    if bodies:
        item["body"] = version.body.decode()
    return item
