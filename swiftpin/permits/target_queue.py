"""Requests that wait for the same slots, in the order in which they get them."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.recent_grants import WINDOW, RecentGrants
from swiftpin.permits.rejection import Rejection
from swiftpin.permits.retry_spread import spread_retry
from swiftpin.permits.service_order import order_requests
from swiftpin.permits.slot_pace import SlotPace

MOST_WAITING: Final = 200
"""Requests that wait for one target, or one unkeyed service, at most."""

ANSWER_WAY: Final = 0.02
"""Seconds from the end of a request at its target until the caller has the answer:
some round trips between zones of a few milliseconds each."""

MOST_OVERTAKEN: Final = 0.9
"""Part of the slots at most that is taken to go to later arrivals: overload may end at
any moment, and a request that would then be served is not rejected before."""


class WaitingLine:
    """Orders requests and finds those that won't be served.

    By priority; within one, the largest number that can still make their objective
    goes first, the nearest objective before the others (Moore and Hodgson's rule for
    jobs of equal length), then the others, the nearest end first. A request whose turn
    comes too late to finish before its end is taken out.

    Without the forecast requests wait to their end though their turn can't come, and
    their callers have no time left to try again; it shows as callers that left after
    most of their time without a send. Whoever will miss the objective is overtaken by
    all that won't, so its turn depends on arrivals to come, of which no more are
    expected than the recent grants make certain.
    """

    def __init__(self) -> None:
        self.requests: list[PermitRequest] = []
        self._grants = RecentGrants()

    @callback
    def record_grant(self, request: PermitRequest, pace: SlotPace, now: float) -> None:
        """Count a request that got a slot as one of those that overtake others."""
        is_in_time = now + pace.hold <= request.objective_at
        self._grants.record(request.priority, now, is_in_time=is_in_time)

    @callback
    def is_idle(self, now: float) -> bool:
        """Return whether nobody waits or was served lately."""
        return not self.requests and self._grants.is_empty(now)

    @callback
    def review(self, pace: SlotPace, now: float) -> list[Rejection]:
        """Put the requests in order; take out and return those that won't be served."""
        kept: list[PermitRequest] = []
        rejected: list[PermitRequest] = []
        order = order_requests(self.requests, pace, now)
        ranked = [(request, True) for request in order.in_time]
        ranked += [(request, False) for request in order.late]
        for request, is_in_time in ranked:
            starts_at = now + self._wait(request, len(kept), is_in_time, pace, now)
            is_served = starts_at + pace.hold + ANSWER_WAY <= request.ends_at
            if is_served and len(kept) < MOST_WAITING:
                kept.append(request)
            else:
                rejected.append(request)
        self.requests = kept
        drain = pace.free_in + len(kept) * pace.interval
        return [
            Rejection(request=request, retry_after=spread_retry(request.id, drain))
            for request in rejected
        ]

    @callback
    def _wait(
        self,
        request: PermitRequest,
        ahead: int,
        is_in_time: bool,
        pace: SlotPace,
        now: float,
    ) -> float:
        """Return the seconds until a request would begin."""
        wait = pace.free_in + ahead * pace.interval
        rate = self._grants.least_overtaking_rate(
            request.priority, now, is_in_time=is_in_time
        )
        overtaken = min(rate * pace.interval, MOST_OVERTAKEN)
        # What arrived within the window says nothing of times beyond as long a one.
        # Else callers with seconds left are rejected in each short crowd, and use up
        # the few times that they come back.
        return min(wait / (1 - overtaken), wait + WINDOW * overtaken)
