"""Deadlines of the requests being served."""

from __future__ import annotations

import asyncio
from heapq import heappop, heappush
from types import TracebackType
from typing import Final, Self

from swiftpin.core import callback
from swiftpin.gateway.task_interrupt import TaskInterrupt

TICK: Final = 0.01
"""Seconds by which a deadline may be noticed late."""


class DeadlineWatch:
    """Ends requests at their deadlines with one timer for all of them.

    `asyncio.timeout` makes a timer for each request, which hardly ever fires and costs
    several times what a set entry does. Here deadlines are collected in sets by
    tick; the timer is set for the first set that has entries, so that an instance with
    few requests is not woken at every tick.
    """

    def __init__(self) -> None:
        self._deadlines_by_tick: dict[int, set[Deadline]] = {}
        self._ticks: list[int] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_tick = 0

    @callback
    def until(self, at: float, task: asyncio.Task[object] | None = None) -> Deadline:
        """Return a context manager that ends its task at a monotonic time.

        `task` is the present task, if it is known already.
        """
        return Deadline(self, at, task)

    @callback
    def add(self, deadline: Deadline) -> None:
        """Watch a deadline."""
        deadlines = self._deadlines_by_tick.get(deadline.tick)
        if deadlines is None:
            deadlines = self._deadlines_by_tick[deadline.tick] = set()
            heappush(self._ticks, deadline.tick)
        deadlines.add(deadline)
        if self._timer is None or deadline.tick < self._timer_tick:
            self._arm()

    @callback
    def discard(self, deadline: Deadline) -> None:
        """Watch a deadline no longer."""
        deadlines = self._deadlines_by_tick.get(deadline.tick)
        if deadlines is not None:
            deadlines.discard(deadline)

    @callback
    def unload(self) -> None:
        """Stop the timer; what is still watched ends by other means."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @callback
    def expire(self, now: float) -> None:
        """End what is due at a monotonic time."""
        present = int(now / TICK)
        while self._ticks and self._ticks[0] < present:
            for deadline in self._deadlines_by_tick.pop(heappop(self._ticks)):
                deadline.interrupt()

    def _arm(self) -> None:
        """Look again once the first watched tick has passed."""
        self.unload()
        while self._ticks and not self._deadlines_by_tick[self._ticks[0]]:
            del self._deadlines_by_tick[heappop(self._ticks)]
        if not self._ticks:
            return
        self._timer_tick = self._ticks[0]
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at((self._timer_tick + 1) * TICK, self._on_timer)

    def _on_timer(self) -> None:
        """End what is due, and go on while anything is watched."""
        self._timer = None
        self.expire(asyncio.get_running_loop().time())
        self._arm()


class Deadline(TaskInterrupt):
    """Raises `TimeoutError` out of its block once the deadline has passed."""

    __slots__ = ("_watch", "tick")

    def __init__(
        self, watch: DeadlineWatch, at: float, task: asyncio.Task[object] | None
    ) -> None:
        super().__init__(task)
        self.tick = int(at / TICK)
        self._watch = watch

    def __enter__(self) -> Self:
        super().__enter__()
        self._watch.add(self)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._watch.discard(self)
        super().__exit__(exc_type, exc, traceback)
