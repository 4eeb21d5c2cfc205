"""Work of an execution: time that passes in a slot."""

from __future__ import annotations

import asyncio
from typing import Final

from aiohttp.web import BaseRequest

from swiftpin.core import monotonic_now
from swiftpin.standins.data_request import DataRequest
from swiftpin.standins.target_faults import TargetFaults
from swiftpin.standins.target_options import TargetOptions

COLD_FACTOR: Final = 4.0
"""How much longer work takes right after a cold start; it falls to 1 in `cold`."""


class ExecutionWork:
    """How long executions take, and the waiting for it."""

    def __init__(self, options: TargetOptions, started_at: float) -> None:
        self._options = options
        self._started_at = started_at

    def is_cold(self, now: float) -> bool:
        """Return whether the target is still cold."""
        return now < self._started_at + self._options.cold

    def duration(self, data: DataRequest, faults: TargetFaults, now: float) -> float:
        """Return how long an execution that starts now works, in seconds."""
        work = self._options.work if data.work is None else data.work
        return work * self._cold_factor(now) + faults.slow_ms / 1000

    async def async_work(
        self, request: BaseRequest, data: DataRequest, ends_at: float
    ) -> bool:
        """Work until `ends_at`; return False when the deadline came first."""
        if data.deadline is None or ends_at <= data.deadline:
            await self._async_sleep(request, ends_at, data.abortable)
            return True
        await self._async_sleep(request, data.deadline, data.abortable)
        return False

    @staticmethod
    async def _async_sleep(request: BaseRequest, until: float, abortable: bool) -> None:
        """Sleep until a time, on if the caller leaves unless that aborts the work.

        Most targets finish what they began: a caller that hangs up must not be
        taken for one whose request did not run.
        """
        left = False
        while (delay := until - monotonic_now()) > 0:
            try:
                await asyncio.sleep(delay)
            except asyncio.CancelledError:
                if abortable or left or request.transport is not None:
                    raise
                left = True

    def _cold_factor(self, now: float) -> float:
        """Return by how much work takes longer than on a warm target."""
        if not self.is_cold(now):
            return 1.0
        warm_share = (now - self._started_at) / self._options.cold
        return COLD_FACTOR - (COLD_FACTOR - 1.0) * warm_share
