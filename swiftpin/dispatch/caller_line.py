"""Waiting requests of one priority, fair between callers."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict

from swiftpin.core import callback
from swiftpin.dispatch.waiter import Waiter

_Entry = tuple[float, int, Waiter]


def _entry(waiter: Waiter) -> _Entry:
    """Return the sort key of a waiter: deadline, then arrival."""
    return (waiter.slot.request.deadline, waiter.sequence, waiter)


class CallerLine:
    """Callers take turns; within a caller the earliest deadline goes first.

    A caller that comes anew joins behind those that already wait, so that one
    which resends for ever gets one turn a round however much it sends.
    """

    __slots__ = ("_entries_by_caller", "count", "priority", "work")

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.count = 0
        self.work = 0.0
        self._entries_by_caller: OrderedDict[str, list[_Entry]] = OrderedDict()

    @callback
    def add(self, waiter: Waiter) -> None:
        """Append a waiter."""
        caller = waiter.slot.request.caller
        entries = self._entries_by_caller.get(caller)
        if entries is None:
            self._entries_by_caller[caller] = [_entry(waiter)]
        else:
            insort(entries, _entry(waiter))
        self.count += 1
        self.work += waiter.cost

    @callback
    def pop(self) -> Waiter:
        """Remove and return the next waiter; the line must not be empty."""
        caller, entries = next(iter(self._entries_by_caller.items()))
        waiter = entries.pop(0)[2]
        self._subtract(waiter)
        if entries:
            self._entries_by_caller.move_to_end(caller)
        else:
            del self._entries_by_caller[caller]
        return waiter

    @callback
    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter from anywhere in the line."""
        caller = waiter.slot.request.caller
        entries = self._entries_by_caller[caller]
        del entries[bisect_left(entries, _entry(waiter))]
        self._subtract(waiter)
        if not entries:
            del self._entries_by_caller[caller]

    @callback
    def work_before(self, caller: str) -> float:
        """Return the expected work in seconds ahead of the caller's next request."""
        if not self.count:
            return 0.0
        rounds = self.waiting_of(caller) + 1
        ahead = min(self.count, rounds * len(self._entries_by_caller))
        return self.work * ahead / self.count

    @callback
    def waiting_of(self, caller: str) -> int:
        """Return how many requests of the caller wait."""
        return len(self._entries_by_caller.get(caller, ()))

    @callback
    def last_of_greediest(self) -> Waiter | None:
        """Return the last waiter of the caller that has most waiting."""
        if not self.count:
            return None
        return max(self._entries_by_caller.values(), key=len)[-1][2]

    def _subtract(self, waiter: Waiter) -> None:
        """Take a waiter out of the sums."""
        self.count -= 1
        # Reset at empty: rounding errors of float sums would add up over days.
        self.work = self.work - waiter.cost if self.count else 0.0
