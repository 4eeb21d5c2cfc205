"""What an instance does every few seconds beside serving requests."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.core import callback, monotonic_now
from swiftpin.gateway.crash_guard import CrashGuard
from swiftpin.gateway.request_serving import RequestServing
from swiftpin.gateway.target_lives import TargetLives

INTERVAL: Final = 5.0


class Housekeeping:
    """Closes idle connections, probes targets and exchanges suspicions."""

    def __init__(
        self, serving: RequestServing, lives: TargetLives, crashes: CrashGuard
    ) -> None:
        self._serving = serving
        self._lives = lives
        self._crashes = crashes
        self._task: asyncio.Task[None] | None = None

    @callback
    def setup(self) -> None:
        """Begin."""
        self._task = asyncio.create_task(self._async_run(), name="housekeeping")

    async def async_unload(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._lives.async_unload()

    async def _async_run(self) -> None:
        """Do each job in turn, again and again."""
        while True:
            await asyncio.sleep(INTERVAL)
            now = monotonic_now()
            self._serving.close_idle(now)
            await self._lives.async_probe(now)
            await self._crashes.async_sync_suspicions()
