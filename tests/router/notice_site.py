"""A fleet with targets that state that they leave or are overloaded, and callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import math
from typing import Any, Final

from aiohttp import ClientError
import pytest

from tests.router.cut_site import PATHS, UNKEYED_SHARE, Attempt, CutOptions, CutSite
from tests.router.notice_target import Backoff, NoticeTarget
from tests.router.site import BOUNDS, Reply, route

DEADLINE: Final = 2.5
OBJECTIVE: Final = 0.4
MAX_RETRIES: Final = 2
HONOURED_SHARE: Final = 1 / 3
"""Share of the time left up to which callers wait before a retry."""

RETRY_DELAY: Final = 0.05
"""Seconds until a retry if the answer names no delay."""

ROUTES: Final = [
    route(prefix, kind, service, timeout_ms=2500, target_latency_ms=400)
    for prefix, kind, service in (
        ("/read/", "safe", "desk"),
        ("/book/", "unsafe", "desk"),
        ("/files/", "download", "vault"),
    )
]


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """What became of a caller's request, its retries included."""

    sent_at: float
    seconds: float
    is_served: bool
    is_keyed: bool
    attempts: int


@dataclass(frozen=True, kw_only=True)
class LateSend:
    """A request that reached a target after its instance knew that it leaves."""

    target: str
    instance: str
    seconds: float
    """Time from the announcement until the caller sent the request."""


class NoticeSite(CutSite):
    """Counts requests that targets had asked not to get."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, options: CutOptions) -> None:
        super().__init__(monkeypatch, options)
        self.routes = ROUTES
        self.outcomes: list[Outcome] = []
        self._sent_at_by_request: dict[str, float] = {}
        self._announced_at: dict[tuple[str, int | None, str], float] = {}
        """First answer passed on that announced a drain, by target, life, instance."""

    def make_target(self, name: str, *, is_keyed: bool) -> NoticeTarget:
        """Return a target that records who sends to it."""
        return NoticeTarget(
            name,
            is_keyed=is_keyed,
            instances_by_connection=self.cuts.instances_by_connection,
            random=self.random,
        )

    @property
    def targets(self) -> list[NoticeTarget]:
        """Return all targets."""
        return [
            target
            for target in self.targets_by_name.values()
            if isinstance(target, NoticeTarget)
        ]

    def target(self, name: str) -> NoticeTarget:
        """Return a target by its name."""
        (found,) = (target for target in self.targets if target.name == name)
        return found

    def key_of(self, target: str) -> int:
        """Return a key that a target owns."""
        key_map = self.routers_by_name["i0"]._maps.maps_by_service["desk"]
        return key_map.firsts[key_map.owners.index(target)]

    def backoffs(self) -> list[Backoff]:
        """Return all back-off periods that targets asked for."""
        return [backoff for it in self.targets for backoff in it.record.backoffs]

    def late_sends(self) -> list[LateSend]:
        """Return the requests that reached a target after its drain time."""
        late = []
        for target in self.targets:
            for arrival in target.record.arrivals:
                announced_at = self._announced_at.get(
                    (target.name, arrival.life, arrival.instance), math.inf
                )
                seconds = self._sent_at_by_request[arrival.request_id] - announced_at
                if seconds > BOUNDS.drain_limit:
                    late.append(
                        LateSend(
                            target=target.name,
                            instance=arrival.instance,
                            seconds=seconds,
                        )
                    )
        return late

    def outstanding_permits(self) -> list[str]:
        """Return the targets for which permits are out."""
        return [
            target
            for router in self.routers_by_name.values()
            for queue in router._permits._local_issuer._queues_by_service.values()
            for target in queue._target_by_request.values()
        ]

    def announced_drains(self) -> int:
        """Return how many instances passed on that a target leaves, for all targets."""
        return len(self._announced_at)

    def attempts_per_request(self, start: float, end: float) -> float:
        """Return how often callers sent a request on average."""
        chosen = [it for it in self.outcomes if start <= it.sent_at < end]
        return sum(it.attempts for it in chosen) / max(len(chosen), 1)

    def served_in_time(self, start: float, end: float) -> float:
        """Return the share of requests that were served within their objective."""
        return self._share(start, end, OBJECTIVE)

    def served(self, start: float, end: float) -> float:
        """Return the share of requests that were served at all."""
        return self._share(start, end, math.inf)

    def _share(self, start: float, end: float, objective: float) -> float:
        chosen = [it for it in self.outcomes if start <= it.sent_at < end]
        served = sum(it.is_served and it.seconds <= objective for it in chosen)
        return served / len(chosen) if chosen else 1.0

    async def _async_attempt(self) -> None:
        """Send one request, and again as callers do."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        arguments = self._draw_request()
        is_once = arguments.get("method") == "POST"
        attempts, status = 0, 0
        while True:
            attempts += 1
            time_left = began_at + DEADLINE - loop.time()
            name = self.random.choice(sorted(self.routers_by_name))
            reply = await self._async_try(name, arguments, time_left)
            status = 0 if reply is None else reply.status
            if status == 200 or attempts > MAX_RETRIES or (is_once and status != 503):
                break
            delay = _retry_delay(reply, began_at + DEADLINE - loop.time())
            if began_at + DEADLINE - loop.time() <= delay:
                break
            await asyncio.sleep(delay)
        self.outcomes.append(
            Outcome(
                sent_at=began_at,
                seconds=loop.time() - began_at,
                is_served=status == 200,
                is_keyed=arguments["key"] is not None,
                attempts=attempts,
            )
        )

    def _draw_request(self) -> dict[str, Any]:
        """Return the arguments of a random request."""
        if self.random.random() < UNKEYED_SHARE:
            return {"path": "/files/x", "key": None}
        path, method = self.random.choice(PATHS)
        key = self.random.randrange(65536)
        return {"path": f"{path}{key}", "key": key, "method": method}

    async def _async_try(
        self, name: str, arguments: dict[str, Any], time_left: float
    ) -> Reply | None:
        """Send one attempt to an instance; return None if it got no answer."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        reply: Reply | None = None
        request_id = self.next_request_id()
        self._sent_at_by_request[request_id] = sent_at
        try:
            async with asyncio.timeout(time_left):
                reply = await self.async_call(
                    via=name,
                    deadline=round(time_left * 1000),
                    request_id=request_id,
                    **arguments,
                )
        except (ClientError, TimeoutError):
            reply = None
        if arguments.get("method") == "POST":
            self.once_only_ids.add(request_id)
        if reply is not None and "Server-Leaving" in reply.headers:
            self._record_announcement(name, request_id, loop.time())
        self.attempts.append(
            Attempt(
                instance=name,
                sent_at=sent_at,
                seconds=loop.time() - sent_at,
                is_served=reply is not None and reply.status == 200,
                request_id=request_id,
                status=0 if reply is None else reply.status,
            )
        )
        return reply

    def _record_announcement(self, instance: str, request_id: str, now: float) -> None:
        """Record that an instance passed on that a target leaves, if it does."""
        for target in self.targets:
            if target.is_leaving and request_id in target.runs:
                announced = (target.name, target.born, instance)
                self._announced_at.setdefault(announced, now)


def _retry_delay(reply: Reply | None, time_left: float) -> float:
    """Return the seconds after which a caller sends its request again."""
    if reply is None:
        return RETRY_DELAY
    named = float(reply.headers.get("Retry-After", RETRY_DELAY))
    return min(named, max(time_left, 0.0) * HONOURED_SHARE)
