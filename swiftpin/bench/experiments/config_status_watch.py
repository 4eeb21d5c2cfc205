"""Asks instances again and again which generations they have in force."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.cli.instance_report import InstanceReport
from swiftpin.cli.instances_client import InstancesClient
from swiftpin.cli.instances_unavailable_error import InstancesUnavailableError

DEFAULT_INTERVAL: Final = 0.25


class StatusWatch:
    """Counts instances that show an older generation after a newer one.

    It looks from outside, by the status that operators see, and so also finds what an
    instance's own order of adoptions would hide. `answers` counts the statuses seen.
    """

    def __init__(
        self, instances: InstancesClient, interval: float = DEFAULT_INTERVAL
    ) -> None:
        self._instances = instances
        self._interval = interval
        self._newest_by_place: dict[tuple[str, str], int] = {}
        self._task: asyncio.Task[None] | None = None
        self.answers = 0
        self.older_after_newer = 0

    async def async_setup(self) -> None:
        """Begin to ask."""
        self._task = asyncio.create_task(self._async_ask())

    async def async_unload(self) -> None:
        """Stop asking."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    def note(self, report: InstanceReport) -> None:
        """Compare one answer with the earlier ones of its instance."""
        if report.status is None:
            return
        self.answers += 1
        for label, generation in report.status.generations_by_name.items():
            place = (report.info.name, label)
            newest = self._newest_by_place.get(place, 0)
            self.older_after_newer += generation < newest
            self._newest_by_place[place] = max(newest, generation)

    async def _async_ask(self) -> None:
        """Ask every listed instance at each interval."""
        while True:
            try:
                reports = await self._instances.async_reports()
            except InstancesUnavailableError:
                reports = []
            for report in reports:
                self.note(report)
            await asyncio.sleep(self._interval)
