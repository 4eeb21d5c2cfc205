"""Duties of the instance that holds the lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.fleet.link import Item
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.lease import LeaseKeeper
from swiftpin.keyranges.range_keeper import RangeKeeper
from swiftpin.router.configuration_holder import ConfigurationHolder

TICK: Final = 0.1
"""Seconds between two looks whether this instance leads."""


class Leader:
    """Runs a keeper for each service divided by key while the lease is held."""

    def __init__(
        self,
        *,
        lease: LeaseKeeper,
        configuration: ConfigurationHolder,
        make_keeper: Callable[[str, Fences], RangeKeeper],
    ) -> None:
        self._lease = lease
        self._configuration = configuration
        self._make_keeper = make_keeper
        self._fences_by_service: dict[str, Fences] = {}
        self._keepers_by_service: dict[str, RangeKeeper] = {}
        self._tasks_by_service: dict[str, asyncio.Task[None]] = {}
        self._term = 0

    async def async_run(self) -> None:
        """Lead whenever the lease is held, until cancelled."""
        try:
            while True:
                self._lease.is_willing = self._configuration.current is not None
                if self._lease.is_held(suspend_aware_now()):
                    self._keep()
                else:
                    self._drop_all()
                await asyncio.sleep(TICK)
        finally:
            self._drop_all()

    @callback
    def take_load(self, report: Item) -> None:
        """Take what an instance was asked for."""
        for load in report.loads:
            keeper = self._keepers_by_service.get(load.service)
            if keeper is not None:
                keeper.load.add(dict(zip(load.keys, load.counts, strict=True)))
        for times in report.times:
            keeper = self._keepers_by_service.get(times.service)
            if keeper is None:
                continue
            for seconds in times.seconds:
                keeper.speed.add(times.target, seconds, failed=False)
            for seconds in times.cut_seconds:
                keeper.speed.add_cut(times.target, seconds)
            for _ in range(times.failures):
                keeper.speed.add(times.target, 0.0, failed=True)

    @callback
    def _keep(self) -> None:
        """Run a keeper for each service that has keys."""
        if self._term != self._lease.term:
            self._drop_all()
            self._term = self._lease.term
        configuration = self._configuration.current
        if configuration is None:
            return
        for service in configuration.services_by_name.values():
            task = self._tasks_by_service.get(service.name)
            if not service.is_keyed or (task is not None and not task.done()):
                continue
            if task is not None and not task.cancelled():
                log_message(
                    message_type="keeper_failed",
                    level="error",
                    service=service.name,
                    error=repr(task.exception()),
                )
            fences = self._fences_by_service.setdefault(service.name, Fences())
            keeper = self._make_keeper(service.name, fences)
            self._keepers_by_service[service.name] = keeper
            self._tasks_by_service[service.name] = asyncio.create_task(
                keeper.async_run()
            )

    @callback
    def _drop_all(self) -> None:
        """Stop all keepers; the grants go on until they end."""
        for task in self._tasks_by_service.values():
            task.cancel()
        self._tasks_by_service.clear()
        self._keepers_by_service.clear()
