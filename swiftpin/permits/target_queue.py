"""Queue of the requests that wait for the same slots."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.permits.end_estimate import EndEstimate, estimate_ends
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.planned_order import PlannedOrder
from swiftpin.permits.recent_grants import RecentGrants
from swiftpin.permits.rejection import Rejection
from swiftpin.permits.retry_spread import (
    MAX_RATE_LIMITED_RETRY_AFTER,
    MAX_RETRY_AFTER,
    spread_retry,
)
from swiftpin.permits.service_order import select_in_time
from swiftpin.permits.slot_pace import SlotPace
from swiftpin.permits.waiting_requests import (
    ObjectiveEntry,
    PriorityClass,
    WaitingRequests,
)

MAX_WAITING_FOR_OWNER: Final = 200
"""Maximum number of requests that wait for the owner of their keys."""

REVIEW_INTERVAL: Final = 0.01
"""Maximum seconds between reviews while requests arrive or get slots. A rejection may
be that much later than a review of all requests at each event would make it."""

MAX_REVIEWED_AT_ONCE: Final = 16
"""Number of waiting requests up to which each event reviews them all."""

EVENTS_PER_REVIEW: Final = 1 / 8
"""Events per waiting request after which requests of different priorities or
precedences are ordered anew."""


class TargetQueue:
    """Orders requests and rejects those that can't be served.

    A request that would get its slot too late to finish before its end is rejected,
    while its caller still has time to retry. A request that will miss its objective is
    overtaken by all that won't, so its wait depends on later arrivals. Their rate is
    estimated as a lower bound from the recent grants.

    A review of many requests costs far more than a grant. Between two reviews, the
    next request is found by `PlannedOrder`.
    """

    def __init__(
        self,
        max_waiting: int = MAX_WAITING_FOR_OWNER,
        review_interval: float = REVIEW_INTERVAL,
    ) -> None:
        self.waiting = WaitingRequests()
        self._max_waiting = max_waiting
        self._review_interval = review_interval
        self._next_review_at = -math.inf
        self._events = 0
        self._order = PlannedOrder(self.waiting)
        self._grants = RecentGrants()

    @callback
    def record_grant(self, request: PermitRequest, hold: float, now: float) -> None:
        """Record a grant, from which the rate of overtaking requests is estimated."""
        is_in_time = now + hold <= request.objective_at
        self._grants.record(request.priority, now, is_in_time=is_in_time)

    @callback
    def is_idle(self, now: float) -> bool:
        """Return whether no request is waiting or was granted recently."""
        return not self.waiting and self._grants.is_empty(now)

    @callback
    def is_review_due(self, now: float) -> bool:
        """Return whether an event has to review all requests."""
        self._events += 1
        waiting = len(self.waiting)
        if waiting <= MAX_REVIEWED_AT_ONCE or now >= self._next_review_at:
            return True
        return not self.waiting.is_uniform and (
            self._events >= waiting * EVENTS_PER_REVIEW or self._order.is_used_up()
        )

    @callback
    def review(self, pace: SlotPace, now: float) -> list[Rejection]:
        """Order the requests; remove and return those that can't be served."""
        self._next_review_at = now + self._review_interval
        self._events = 0
        in_time = select_in_time(self.waiting, pace, now)
        self._order.set(in_time)
        rejected: list[PermitRequest] = []
        ahead = self._review_in_time(in_time, pace, now, rejected)
        numbers = {entry[1] for entry in in_time}
        for priority_class in self.waiting.classes:
            estimate = self._estimate(priority_class.priority, False, pace, now)
            ahead = self._review_late(
                priority_class, numbers, ahead, estimate, rejected
            )
        return self.reject(rejected, pace)

    @callback
    def _review_in_time(
        self,
        in_time: list[ObjectiveEntry],
        pace: SlotPace,
        now: float,
        rejected: list[PermitRequest],
    ) -> int:
        """Add the requests in time that can't be served to `rejected`.

        Returns the number of the others.
        """
        classes = self.waiting.classes
        estimates_by_priority = {
            priority_class.priority: self._estimate(
                priority_class.priority, True, pace, now
            )
            for priority_class in classes
        }
        if (
            len(in_time) <= self._max_waiting
            and not any(priority_class.has_early_ends for priority_class in classes)
            and not any(
                estimate.is_overtaken for estimate in estimates_by_priority.values()
            )
        ):
            return len(in_time)
        ahead = 0
        for _, _, request in in_time:
            estimate = estimates_by_priority[request.priority]
            if ahead < self._max_waiting and (
                estimate.first_end + ahead * estimate.interval <= request.ends_at
                or estimate.first_end_in_window + ahead * pace.interval
                <= request.ends_at
            ):
                ahead += 1
            else:
                rejected.append(request)
        return ahead

    @callback
    def _review_late(
        self,
        priority_class: PriorityClass,
        in_time: set[int],
        ahead: int,
        estimate: EndEstimate,
        rejected: list[PermitRequest],
    ) -> int:
        """Add the late requests of a class that can't be served to `rejected`.

        `ahead` is the number of requests that are served before them; the number with
        those that can be served is returned.
        """
        max_waiting = self._max_waiting
        first_end, interval, first_end_in_window, interval_in_window, _ = estimate
        is_by_end = priority_class.has_one_precedence
        late = [entry for entry in priority_class.by_end if entry[3] not in in_time]
        index = 0
        while index < len(late):
            ends_at = late[index][1]
            slack = ends_at - first_end - ahead * interval
            slack_in_window = ends_at - first_end_in_window - ahead * interval_in_window
            if (slack < 0 and slack_in_window < 0) or ahead >= max_waiting:
                rejected.append(late[index][4])
                index += 1
                continue
            count = 1
            if is_by_end:
                # As many requests that end later can wait as the slack allows.
                count += int(
                    max(slack / interval, slack_in_window / interval_in_window)
                )
                count = min(count, max_waiting - ahead, len(late) - index)
            ahead += count
            index += count
        return ahead

    @callback
    def next_requests(
        self, pace: SlotPace, now: float, rejected: list[PermitRequest]
    ) -> Iterator[PermitRequest]:
        """Iterate over the requests in their order, without a review.

        Those found to be unservable are added to `rejected`.
        """
        ahead = 0
        for request, is_in_time in self._order.iterate(pace, now):
            estimate = self._estimate(request.priority, is_in_time, pace, now)
            if ahead < self._max_waiting and estimate.can_finish(request, ahead):
                ahead += 1
                yield request
            else:
                rejected.append(request)

    @callback
    def reviewed_requests(self, pace: SlotPace, now: float) -> Iterator[PermitRequest]:
        """Iterate over the requests in their order, after a review at the same time."""
        for request, _ in self._order.iterate(pace, now):
            yield request

    @callback
    def reject(
        self, requests: Iterable[PermitRequest], pace: SlotPace
    ) -> list[Rejection]:
        """Remove requests and return their rejections."""
        requests = list(requests)
        for request in requests:
            self.waiting.remove(request.id)
        drain_time = pace.free_in + len(self.waiting) * pace.interval
        max_delay = (
            MAX_RATE_LIMITED_RETRY_AFTER if pace.is_rate_limited else MAX_RETRY_AFTER
        )
        return [
            Rejection(
                request=request,
                retry_after=spread_retry(request.id, drain_time, max_delay),
                is_rate_limited=pace.is_rate_limited,
            )
            for request in requests
        ]

    @callback
    def _estimate(
        self, priority: int, is_in_time: bool, pace: SlotPace, now: float
    ) -> EndEstimate:
        """Return the estimate for the requests of a priority."""
        rate = self._grants.min_overtaking_rate(priority, now, is_in_time=is_in_time)
        return estimate_ends(pace, rate, now)
