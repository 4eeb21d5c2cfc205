"""Stand-in for an upstream that holds keys."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
import time
from typing import Any, Final
from weakref import WeakKeyDictionary

from aiohttp.web import (
    Application,
    AppRunner,
    Request,
    Response,
    StreamResponse,
    TCPSite,
)

from review.standins.record import Record

KEY_COUNT: Final = 65536
REQUEST_ID: Final = "Swiftpin-Request-Id"
CHECK_STEP: Final = 256
"""Distance between the keys whose holders are compared."""


@dataclass(kw_only=True)
class Hold:
    """A range of keys that an upstream holds or held; times are monotonic."""

    upstream: str
    first: int
    last: int
    fence: int
    since: float
    until: float
    granted_until: float
    """Time at which the last grant runs out, however the hold ended."""


@dataclass(kw_only=True)
class ExtraBudget:
    """Extra responses that faulty upstreams may send together in one span."""

    share: float
    """Share of the upstreams' answers in the span."""

    answers: int = 0
    extras: int = 0

    def take(self) -> bool:
        """Return whether another extra response may be sent, and count it."""
        if self.extras + 1 > self.share * self.answers:
            return False
        self.extras += 1
        return True


@dataclass(frozen=True, kw_only=True)
class Run:
    """A request that an upstream began to run."""

    upstream: str
    id: str
    key: int
    began_at: float


@dataclass(frozen=True, kw_only=True)
class EarlyGrant:
    """A grant of a key on which another upstream was still at work."""

    run: Run
    granted_to: str
    granted_at: float
    held_until: float


class Upstream:
    """Runs requests for the keys that it holds and keeps all its holds.

    `others` are all upstreams of the service. With an `extra_budget` it also sends late
    extra responses: a copy of the answer to a release, at the point where the next
    response on the connection is expected.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        record: Record,
        others: Mapping[str, Upstream],
    ) -> None:
        self.name = name
        self.service = service
        self.host = host
        self.address = ""
        self.work = 0.05
        self.holds: list[Hold] = []
        self.runs: list[Run] = []
        self.early_grants: list[EarlyGrant] = []
        """Grants to this upstream of keys on which another was still at work."""

        self.extra_budget: ExtraBudget | None = None
        self.answers = 0
        self.extras = 0
        self._others = others
        self._record = record
        self._fences: list[tuple[int, int, int]] = []
        self._running: dict[str, Run] = {}
        self._answered: WeakKeyDictionary[asyncio.BaseTransport, bytes] = (
            WeakKeyDictionary()
        )
        """Last answer to a release by connection, from which an extra one is made."""

        self._runner: AppRunner | None = None

    async def async_start(self) -> None:
        """Listen on a free port."""
        app = Application()
        app.on_response_prepare.append(self._async_count)
        app.router.add_post("/api/grant", self._async_grant)
        app.router.add_post("/api/release", self._async_release)
        app.router.add_get("/health", self._async_health)
        app.router.add_route("*", "/{path:.*}", self._async_work)
        self._runner = AppRunner(app, shutdown_timeout=0.1, handler_cancellation=True)
        await self._runner.setup()
        await TCPSite(self._runner, self.host, 0).start()
        self.address = f"{self.host}:{self._runner.addresses[0][1]}"

    async def async_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return what the upstream writes to the store."""
        return {
            "address": self.address,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": "z1",
                "slots": 2,
            },
            "status": {"state": state, "sequence": 1, "cold_ms": 0},
        }

    def holds_key(self, key: int, now: float) -> bool:
        """Return whether it holds a key."""
        return any(
            hold.first <= key <= hold.last and now < hold.until for hold in self.holds
        )

    async def _async_count(self, request: Request, response: StreamResponse) -> None:
        self.answers += 1
        if self.extra_budget is not None:
            self.extra_budget.answers += 1

    def _send_extra(self, request: Request) -> None:
        """Send a copy of an earlier answer to a release, if it is time for one."""
        transport = request.transport
        assert transport is not None
        answer = self._answered.pop(transport, None)
        if answer is None or self.extra_budget is None or not self.extra_budget.take():
            return
        self.extras += 1
        assert isinstance(transport, asyncio.WriteTransport)
        transport.write(answer)
        self._record.add("extra response", upstream=self.name, answers=self.answers)

    def _expects_other(self, request: Request) -> Response | None:
        expected = request.headers.get("Swiftpin-Expected-Instance", self.name)
        if expected == self.name:
            return None
        return Response(status=421, headers={"Swiftpin-Instance-Id": self.name})

    async def _async_health(self, request: Request) -> Response:
        headers = {
            "Swiftpin-Instance-Id": self.name,
            "Swiftpin-Upstream-Load": f"{len(self._running)},0,2",
        }
        return Response(headers=headers)

    async def _async_grant(self, request: Request) -> Response:
        if (answer := self._expects_other(request)) is not None:
            return answer
        now = time.monotonic()
        body = await request.json()
        first, last, fence = body["from"], body["to"], body["fence"]
        is_refused = any(
            low <= last and first <= high and fence < seen
            for low, high, seen in self._fences
        )
        if not is_refused:
            self._fences.append((first, last, fence))
            self._find_early_grant(first, last, now)
            until = now + body["hold_ms"] / 1000
            self._take(first, last, fence, now, until)
        status = 409 if is_refused else 200
        self._record.add("grant", upstream=self.name, status=status, **body)
        request_id = request.headers.get(REQUEST_ID)
        headers = None if request_id is None else {REQUEST_ID: request_id}
        return Response(status=status, headers=headers)

    async def _async_release(self, request: Request) -> Response:
        if (answer := self._expects_other(request)) is not None:
            return answer
        self._send_extra(request)
        body = await request.json()
        first, last, fence = body["from"], body["to"], body["fence"]
        self._fences.append((first, last, fence))
        self._end(first, last, time.monotonic())
        self._record.add("release arrived", upstream=self.name, **body)
        while any(first <= run.key <= last for run in self._running.values()):  # noqa: ASYNC110
            await asyncio.sleep(0.002)
        self._record.add("release answered", upstream=self.name, status=200, **body)
        headers = {"Swiftpin-Handover": f"{fence:016x}"}
        if (request_id := request.headers.get(REQUEST_ID)) is not None:
            headers[REQUEST_ID] = request_id
        assert request.transport is not None
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self._answered[request.transport] = (
            f"HTTP/1.1 200 OK\r\n{lines}Content-Length: 0\r\n\r\n".encode()
        )
        return Response(headers=headers)

    def _find_early_grant(self, first: int, last: int, now: float) -> None:
        """Note if another upstream is still at work on keys that are granted here."""
        for other in self._others.values():
            if other is self:
                continue
            for run in other.running:
                held_until = other.granted_until(run.key)
                if not first <= run.key <= last or now >= held_until:
                    continue
                early = EarlyGrant(
                    run=run, granted_to=self.name, granted_at=now, held_until=held_until
                )
                self.early_grants.append(early)
                self._record.add(
                    "granted while at work",
                    key=run.key,
                    id=run.id,
                    at_work=other.name,
                    for_s=round(now - run.began_at, 3),
                    granted_to=self.name,
                    hold_left_s=round(held_until - now, 3),
                )

    @property
    def running(self) -> list[Run]:
        """Return the requests at which it is at work."""
        return list(self._running.values())

    def granted_until(self, key: int) -> float:
        """Return the time at which its last grant of a key runs out."""
        return max(
            (
                hold.granted_until
                for hold in self.holds
                if hold.first <= key <= hold.last
            ),
            default=0.0,
        )

    def _take(
        self, first: int, last: int, fence: int, now: float, until: float
    ) -> None:
        """Take or renew keys; a renewal continues the hold of the same range."""
        for hold in self.holds:
            if (hold.first, hold.last) == (first, last) and now < hold.until:
                hold.until = hold.granted_until = until
                hold.fence = fence
                return
        self._end(first, last, now)
        self.holds.append(
            Hold(
                upstream=self.name,
                first=first,
                last=last,
                fence=fence,
                since=now,
                until=until,
                granted_until=until,
            )
        )

    def _end(self, first: int, last: int, now: float) -> None:
        """End the holds of a range; what lies beside it continues."""
        for hold in list(self.holds):
            if now >= hold.until or hold.last < first or hold.first > last:
                continue
            for low, high in ((hold.first, first - 1), (last + 1, hold.last)):
                if low <= high:
                    self.holds.append(
                        Hold(
                            upstream=self.name,
                            first=low,
                            last=high,
                            fence=hold.fence,
                            since=hold.since,
                            until=hold.until,
                            granted_until=hold.granted_until,
                        )
                    )
            hold.until = now

    async def _async_work(self, request: Request) -> Response:
        if (answer := self._expects_other(request)) is not None:
            return answer
        request_id = request.headers[REQUEST_ID]
        key = int(request.headers["Swiftpin-Shard-Key"])
        now = time.monotonic()
        headers = {"Swiftpin-Instance-Id": self.name}
        if not self.holds_key(key, now):
            headers["Swiftpin-Not-Executed"] = "1"
            return Response(status=421, headers=headers)
        await request.read()
        run = Run(upstream=self.name, id=request_id, key=key, began_at=now)
        self.runs.append(run)
        self._record.add("run", upstream=self.name, id=request_id, key=key)
        self._running[request_id] = run
        try:
            await asyncio.sleep(self.work)
        finally:
            del self._running[request_id]
        headers[REQUEST_ID] = request_id
        headers["Swiftpin-Upstream-Signature"] = f"signed-{request_id}"
        headers["Swiftpin-Upstream-Load"] = f"{len(self._running)},0,2"
        return Response(body=f"done {request_id}".encode(), headers=headers)


@dataclass(frozen=True, kw_only=True)
class Overlap:
    """Keys that two upstreams held at the same time."""

    key: int
    holders: tuple[Hold, Hold]
    since: float
    until: float

    @property
    def seconds(self) -> float:
        """Return how long both held the key."""
        return self.until - self.since


def find_overlaps(upstreams: list[Upstream], now: float) -> list[Overlap]:
    """Return the times until `now` at which two upstreams held the same key."""
    overlaps = []
    for key in range(0, KEY_COUNT, CHECK_STEP):
        holds = [
            hold
            for upstream in upstreams
            for hold in upstream.holds
            if hold.first <= key <= hold.last and hold.until > hold.since
        ]
        for number, one in enumerate(holds):
            for other in holds[number + 1 :]:
                since = max(one.since, other.since)
                until = min(one.until, other.until, now)
                if one.upstream != other.upstream and until > since:
                    overlaps.append(
                        Overlap(key=key, holders=(one, other), since=since, until=until)
                    )
    return overlaps
