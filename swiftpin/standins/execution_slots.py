"""Slots in which a target executes requests."""

from __future__ import annotations

import asyncio
from collections import deque

from swiftpin.core import callback


class ExecutionSlots:
    """A number of slots and a queue, first come, first served."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._waiters: deque[asyncio.Future[None]] = deque()
        self.busy = 0
        self.queued = 0

    async def async_acquire(self, timeout: float | None) -> bool:
        """Take a slot; return False when none came free in `timeout` seconds.

        A cancelled wait leaves the queue.
        """
        if self.busy < self._slots:
            self.busy += 1
            return True
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self.queued += 1
        try:
            async with asyncio.timeout(timeout):
                await waiter
        except TimeoutError:
            return self._was_handed(waiter)
        except asyncio.CancelledError:
            if self._was_handed(waiter):
                self.release()
            raise
        finally:
            self.queued -= 1
        return True

    @callback
    def release(self) -> None:
        """Hand the slot to the first in the queue, or free it."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.busy -= 1

    @staticmethod
    def _was_handed(waiter: asyncio.Future[None]) -> bool:
        """Return whether the waiter got a slot although its wait broke off."""
        return waiter.done() and not waiter.cancelled()
