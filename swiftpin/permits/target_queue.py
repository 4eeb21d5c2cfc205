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

MAX_WAITING: Final = 200
"""Requests that wait for one target, or one unkeyed service."""

ANSWER_TRANSFER_TIME: Final = 0.02
"""Seconds from the end of a request at its target until the caller has the answer:
some round trips between zones of a few milliseconds each."""

MAX_OVERTAKING_SHARE: Final = 0.9
"""Upper bound on the share of slots assumed to go to later arrivals: overload may end
at any moment."""


class TargetQueue:
    """Orders requests and rejects those that can't be served.

    A request whose turn comes too late to finish before its end is rejected at once:
    its caller still has time to try again. A request that will miss its objective is
    overtaken by all that won't, so its turn depends on later arrivals, of which no more
    are assumed than the recent grants make certain.
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
            starts_at = now + self._estimate_wait(
                request, len(kept), is_in_time, pace, now
            )
            is_served = starts_at + pace.hold + ANSWER_TRANSFER_TIME <= request.ends_at
            if is_served and len(kept) < MAX_WAITING:
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
    def _estimate_wait(
        self,
        request: PermitRequest,
        ahead: int,
        is_in_time: bool,
        pace: SlotPace,
        now: float,
    ) -> float:
        """Return the seconds until a request would begin."""
        wait = pace.free_in + ahead * pace.interval
        rate = self._grants.min_overtaking_rate(
            request.priority, now, is_in_time=is_in_time
        )
        overtaken = min(rate * pace.interval, MAX_OVERTAKING_SHARE)
        # What arrived within the window says nothing of times beyond as long a one.
        # Else callers with seconds left are rejected in each short crowd, and use up
        # the few times that they come back.
        return min(wait / (1 - overtaken), wait + WINDOW * overtaken)
