"""A target behind swiftpin's queue, in virtual time."""

from __future__ import annotations

import asyncio
from heapq import heappop, heappush
from random import Random
from typing import Final

from swiftpin.bench.queue_policy.offered_request import OfferedRequest
from swiftpin.dispatch.queue_settings import QueueSettings
from swiftpin.dispatch.queued_request import QueuedRequest
from swiftpin.dispatch.target_queue import TargetQueue
from swiftpin.exceptions import NotRunError

TURNS: Final = 4
"""Turns of the loop after which all tasks stand still again."""


class QueueTarget:
    """Drives a real queue with a clock of its own."""

    def __init__(self, *, slots: int, length: int) -> None:
        self._now = 0.0
        self._queue = TargetQueue(
            "target",
            QueueSettings(slots=slots, length=length),
            Random(1),
            clock=lambda: self._now,
        )
        self._ends: list[tuple[float, int, asyncio.Event]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._ended_at_by_number: dict[int, float] = {}

    async def async_run(self, requests: list[OfferedRequest]) -> dict[int, float]:
        """Return when each request ended that was not refused, by its number."""
        for request in requests:
            await self._async_work_off(request.at)
            self._now = request.at
            self._queue.wake(self._now)
            task = asyncio.create_task(self._async_request(request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await self._async_settle()
        await self._async_work_off(float("inf"))
        return self._ended_at_by_number

    async def _async_work_off(self, until: float) -> None:
        """Let requests end up to a time."""
        while self._ends and self._ends[0][0] <= until:
            self._now, _, event = heappop(self._ends)
            event.set()
            await self._async_settle()

    async def _async_request(self, request: OfferedRequest) -> None:
        """Run one request, or note that it was refused."""
        queued = QueuedRequest(
            request_id=str(request.number),
            caller=request.caller,
            class_name=request.offered_class.name,
            priority=request.offered_class.priority,
            deadline=request.deadline,
        )
        try:
            async with self._queue.async_slot(queued, self._now):
                ended = asyncio.Event()
                at = self._now + request.work
                heappush(self._ends, (at, request.number, ended))
                await ended.wait()
        except NotRunError:
            return
        self._ended_at_by_number[request.number] = at

    @staticmethod
    async def _async_settle() -> None:
        """Let all tasks run until they wait for the clock."""
        for _ in range(TURNS):
            await asyncio.sleep(0)
