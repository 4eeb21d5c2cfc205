"""Stand-in for a target that states in its answers that it leaves or is overloaded."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
import math
from random import Random

from aiohttp.web import Request, Response, StreamResponse

from tests.router.target_standin import TargetStandin

BACKOFF_GRACE = 0.5
"""Seconds after a rejection in which requests may still arrive."""


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """Arrival of a request; times are on the event loop's clock."""

    instance: str
    request_id: str
    life: int | None
    """Start of the target's process that it reached."""

    at: float


@dataclass(kw_only=True)
class Backoff:
    """Period for which an instance was asked not to call, and its requests in it."""

    instance: str
    asked_at: float
    seconds: float
    requests: int = 0

    def counts(self, arrival: Arrival) -> bool:
        """Return whether a request should not have been sent."""
        elapsed = arrival.at - self.asked_at
        return (
            arrival.instance == self.instance and BACKOFF_GRACE < elapsed < self.seconds
        )


@dataclass(kw_only=True)
class Load:
    """How a target rejects requests."""

    reject_share: float = 0.0
    retry_after: float = 3.0
    until: float = math.inf
    delay: float = 0.0
    """Seconds until a rejection is sent."""


@dataclass(kw_only=True)
class NoticeRecord:
    """What a target stated, and what arrived at it."""

    arrivals: list[Arrival] = field(default_factory=list)
    backoffs: list[Backoff] = field(default_factory=list)


class NoticeTarget(TargetStandin):
    """Records requests by the instance that sent them."""

    def __init__(
        self,
        name: str,
        *,
        is_keyed: bool,
        instances_by_connection: dict[tuple[str, int], str],
        random: Random,
    ) -> None:
        super().__init__(name, is_keyed=is_keyed)
        self.is_leaving = False
        self.spoilt_answers = 0
        """Answers that wrongly state that the target is leaving."""

        self.load = Load()
        self.record = NoticeRecord()
        self._instances_by_connection = instances_by_connection
        self._random = random

    async def async_prepare_answer(
        self, request: Request, response: StreamResponse
    ) -> None:
        """State that the target is leaving."""
        is_spoilt = bool(self.spoilt_answers) and response.status == 200
        self.spoilt_answers -= is_spoilt
        if self.is_leaving or is_spoilt:
            response.headers["Server-Leaving"] = "1"

    async def _async_work(self, request: Request) -> Response:
        now = asyncio.get_running_loop().time()
        arrival = self._arrival(request, now)
        self.record.arrivals.append(arrival)
        for backoff in self.record.backoffs:
            backoff.requests += backoff.counts(arrival)
        if now >= self.load.until or self._random.random() >= self.load.reject_share:
            return await super()._async_work(request)
        seconds = self.load.retry_after
        self.record.backoffs.append(
            Backoff(instance=arrival.instance, asked_at=now, seconds=seconds)
        )
        await asyncio.sleep(self.load.delay)
        headers = {"Swiftpin-Not-Executed": "1", "Retry-After": f"{seconds:g}"}
        return Response(status=503, headers=headers)

    def _arrival(self, request: Request, now: float) -> Arrival:
        """Return the arrival of a request and the instance that sent it."""
        assert request.transport is not None
        port = request.transport.get_extra_info("peername")[1]
        return Arrival(
            instance=self._instances_by_connection[self.address, port],
            request_id=request.headers["Swiftpin-Request-Id"],
            life=self.born,
            at=now,
        )
