"""Order of waiting requests between two reviews."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Iterator

from swiftpin.core import callback
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.slot_pace import SlotPace
from swiftpin.permits.waiting_requests import (
    ObjectiveEntry,
    PriorityClass,
    WaitingRequests,
)


class PlannedOrder:
    """Finds the next requests without ordering all of them.

    Requests of the same priority and precedence are in the exact order of
    `order_waiting`. Others are in the order of the last review; those that arrived
    since then, and those that have become late, are among the late ones. Requests may
    be removed during the iterations.
    """

    def __init__(self, waiting: WaitingRequests) -> None:
        self._waiting = waiting
        self._in_time: deque[ObjectiveEntry] = deque()

    @callback
    def set(self, in_time: Iterable[ObjectiveEntry]) -> None:
        """Set the requests that are in time, in their order."""
        self._in_time = deque(in_time)

    @callback
    def is_used_up(self) -> bool:
        """Return whether none of the requests that were in time is waiting."""
        self._drop_first()
        return not self._in_time

    @callback
    def iterate(
        self, pace: SlotPace, now: float
    ) -> Iterator[tuple[PermitRequest, bool]]:
        """Iterate over the requests, and whether each one is in time."""
        first_end = now + pace.free_in + pace.hold
        if self._waiting.is_uniform:
            (priority_class,) = self._waiting.classes_by_priority.values()
            in_time = _iterate_uniform(priority_class, pace.interval, first_end)
        else:
            in_time = self._iterate_planned(first_end)
        numbers: set[int] = set()
        for entry in in_time:
            numbers.add(entry.number)
            yield entry.request, True
        for priority_class in self._waiting.classes:
            for request in _iterate_late(priority_class, numbers):
                yield request, False

    @callback
    def _iterate_planned(self, first_end: float) -> Iterator[ObjectiveEntry]:
        """Iterate over the planned requests that are still in time."""
        self._drop_first()
        for entry in self._in_time:
            if first_end <= entry.objective_at and entry.request.id in self._waiting:
                yield entry

    @callback
    def _drop_first(self) -> None:
        """Drop the first requests if they no longer wait."""
        while self._in_time and self._in_time[0].request.id not in self._waiting:
            self._in_time.popleft()


@callback
def _iterate_uniform(
    priority_class: PriorityClass, interval: float, first_end: float
) -> Iterator[ObjectiveEntry]:
    """Iterate over the requests in time of equal priority and precedence.

    The first one is found in logarithmic time, since only those whose objective has
    passed are ahead of it.
    """
    by_objective = priority_class.by_objective
    index = bisect_left(by_objective, (first_end,))
    ahead = 0
    while index < len(by_objective):
        entry = by_objective[index]
        if first_end + ahead * interval <= entry.objective_at:
            ahead += 1
            yield entry
            index = bisect_right(by_objective, entry)
        else:
            index += 1


@callback
def _iterate_late(
    priority_class: PriorityClass, skipped: set[int]
) -> Iterator[PermitRequest]:
    """Iterate over the requests of a class by end, without the skipped ones."""
    by_end = priority_class.by_end
    index = 0
    while index < len(by_end):
        entry = by_end[index]
        index += 1
        if entry.number not in skipped:
            yield entry.request
            index = bisect_right(by_end, entry)
