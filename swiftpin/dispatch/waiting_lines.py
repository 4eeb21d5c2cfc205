"""All waiting requests of one target."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator

from swiftpin.core import callback
from swiftpin.dispatch.caller_line import CallerLine
from swiftpin.dispatch.queued_request import QueuedRequest
from swiftpin.dispatch.waiter import Waiter


class WaitingLines:
    """One line for each priority, one for isolated requests, and an index by time.

    The lists are short (the queue is bounded), so sorted lists with removal in the
    middle are cheaper than heaps that keep abandoned entries: a caller that sends
    and hangs up for ever would make such a heap grow while the target is stuck.
    """

    __slots__ = ("_by_latest_start", "_isolated", "_lines", "_lines_by_priority")

    def __init__(self) -> None:
        self._lines_by_priority: dict[int, CallerLine] = {}
        self._lines: list[CallerLine] = []
        self._isolated: list[tuple[int, int, Waiter]] = []
        self._by_latest_start: list[tuple[float, int, Waiter]] = []

    def __len__(self) -> int:
        return len(self._by_latest_start)

    def __iter__(self) -> Iterator[Waiter]:
        return iter([entry[2] for entry in self._by_latest_start])

    @property
    def work(self) -> float:
        """Return the expected work of all waiting requests in seconds."""
        return sum(line.work for line in self._lines)

    @property
    def earliest_latest_start(self) -> float | None:
        """Return when the first waiter becomes pointless, None without waiters."""
        return self._by_latest_start[0][0] if self._by_latest_start else None

    @callback
    def add(self, waiter: Waiter) -> None:
        """Add a waiter."""
        insort(self._by_latest_start, self._time_entry(waiter))
        if waiter.slot.request.isolated:
            insort(self._isolated, self._isolated_entry(waiter))
            return
        self._line(waiter.slot.request.priority).add(waiter)

    @callback
    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter from anywhere."""
        self._forget(waiter)
        if waiter.slot.request.isolated:
            entry = self._isolated_entry(waiter)
            del self._isolated[bisect_left(self._isolated, entry)]
            return
        self._line(waiter.slot.request.priority).remove(waiter)

    @callback
    def first_line(self) -> CallerLine | None:
        """Return the line of the best priority that has waiters."""
        for line in self._lines:
            if line.count:
                return line
        return None

    @callback
    def pop(self, line: CallerLine) -> Waiter:
        """Remove and return the next waiter of a line."""
        waiter = line.pop()
        self._forget(waiter)
        return waiter

    @callback
    def first_isolated(self) -> Waiter | None:
        """Return the isolated waiter that is next, None without one."""
        return self._isolated[0][2] if self._isolated else None

    @callback
    def overdue(self, now: float) -> Waiter | None:
        """Return a waiter that can no longer end in time, None without one."""
        if self._by_latest_start and self._by_latest_start[0][0] < now:
            return self._by_latest_start[0][2]
        return None

    @callback
    def better_work(self, priority: int) -> float:
        """Return the expected work of strictly better priorities in seconds."""
        return sum(line.work for line in self._lines if line.priority < priority)

    @callback
    def work_before(self, request: QueuedRequest) -> float:
        """Return the expected work ahead of a new request in seconds."""
        work = self.better_work(request.priority)
        line = self._lines_by_priority.get(request.priority)
        return work if line is None else work + line.work_before(request.caller)

    @callback
    def victim(self, request: QueuedRequest) -> Waiter | None:
        """Return the waiter that makes room for a request, None when none must.

        Worse priorities yield first. Within the request's own priority the caller
        with most waiting yields if it has at least two more than the request's, so
        that one caller cannot keep the queue full for itself.
        """
        for line in reversed(self._lines):
            if line.priority <= request.priority:
                break
            if line.count:
                return line.last_of_greediest()
        line_of_own = self._lines_by_priority.get(request.priority)
        if line_of_own is None:
            return None
        candidate = line_of_own.last_of_greediest()
        if candidate is None:
            return None
        greediest = line_of_own.waiting_of(candidate.slot.request.caller)
        own = line_of_own.waiting_of(request.caller)
        return candidate if greediest >= own + 2 else None

    def _line(self, priority: int) -> CallerLine:
        """Return the line of a priority, made when new."""
        line = self._lines_by_priority.get(priority)
        if line is None:
            line = self._lines_by_priority[priority] = CallerLine(priority)
            self._lines = [
                self._lines_by_priority[key] for key in sorted(self._lines_by_priority)
            ]
        return line

    def _forget(self, waiter: Waiter) -> None:
        """Remove a waiter from the index by time."""
        waiter.queued = False
        entry = self._time_entry(waiter)
        del self._by_latest_start[bisect_left(self._by_latest_start, entry)]

    @staticmethod
    def _time_entry(waiter: Waiter) -> tuple[float, int, Waiter]:
        """Return the sort key in the index by time."""
        return (waiter.latest_start, waiter.sequence, waiter)

    @staticmethod
    def _isolated_entry(waiter: Waiter) -> tuple[int, int, Waiter]:
        """Return the sort key in the line of isolated requests."""
        return (waiter.slot.request.priority, waiter.sequence, waiter)
