"""Checks of targets that announced in one answer that they are leaving."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.announced_drains import AnnouncedDrains
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import ExchangeError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.target import Target
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.target_client import TargetClient

CHECK_TIMEOUT: Final = 0.5
"""Timeout of a check in seconds; a full target answers once a slot is free."""

RECHECK_INTERVAL: Final = 1.0
"""Seconds after a check without a usable answer until the next one."""


class DrainChecks:
    """Asks the health endpoints of targets until their announcements are settled.

    Requests to the target settle them as well, but keyed targets may not get another
    one within the drain time.
    """

    def __init__(
        self,
        *,
        client: TargetClient,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        drains: AnnouncedDrains,
        backoffs: TargetBackoffs,
    ) -> None:
        self._client = client
        self._configuration = configuration
        self._directory = directory
        self._drains = drains
        self._backoffs = backoffs
        self._tasks: set[asyncio.Task[None]] = set()

    @callback
    def start(self, target_id: str) -> None:
        """Check a target until it is known whether it is leaving."""
        task = asyncio.create_task(self._async_check(target_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @callback
    def unload(self) -> None:
        """Cancel all checks."""
        for task in self._tasks:
            task.cancel()

    async def _async_check(self, target_id: str) -> None:
        """Ask a target until its announcement is settled or it is gone."""
        while True:
            target = self._directory.targets_by_id.get(target_id)
            if target is None or not self._drains.is_unconfirmed(target_id):
                return
            if not self._backoffs.remaining(target_id, suspend_aware_now()):
                await self._async_ask(target)
            if self._drains.is_unconfirmed(target_id):
                await asyncio.sleep(RECHECK_INTERVAL)

    async def _async_ask(self, target: Target) -> None:
        """Ask a target once; the client records what the answer states."""
        configuration = self._configuration.current
        service = configuration and configuration.services_by_name.get(target.service)
        if not service:
            return
        asked_at = suspend_aware_now()
        try:
            async with asyncio.timeout(CHECK_TIMEOUT):
                head = await self._client.async_check_health(target, service)
        except (ExchangeError, TimeoutError):
            # Whether the target is leaving is still unknown; it is asked again.
            return
        if head.is_healthy and head.instance == target.name and not head.is_draining:
            self._drains.record_absence(target.id, asked_at)
