"""Checks which target is at an address that several entries name."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import ExchangeError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.target import Target
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.target_client import TargetClient

CHECK_TIMEOUT: Final = 0.5
"""Timeout of a check in seconds; a full target answers once a slot is free."""

RECHECK_INTERVAL: Final = 1.0
"""Seconds after a check without a usable answer until the next one."""

MAX_CHECKS: Final = 5
"""Maximum checks of an address. Afterwards the answers to requests tell."""


class AddressChecks:
    """Asks who answers at an address and marks the other targets there as replaced.

    An address is used again after a target has ended, so two entries may name it. Which
    of them is newer proves nothing, since another writer may copy an entry.
    """

    def __init__(
        self,
        *,
        client: TargetClient,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
    ) -> None:
        self._client = client
        self._configuration = configuration
        self._directory = directory
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}

    @callback
    def start(self, address: str) -> None:
        """Check an address, unless a check of it is in progress."""
        if address in self._tasks_by_address:
            return
        task = asyncio.create_task(self._async_check(address))
        self._tasks_by_address[address] = task
        task.add_done_callback(lambda _: self._tasks_by_address.pop(address, None))

    @callback
    def unload(self) -> None:
        """Cancel all checks."""
        for task in self._tasks_by_address.values():
            task.cancel()

    async def _async_check(self, address: str) -> None:
        """Ask until a target answers, or no more than one may be at the address."""
        for _ in range(MAX_CHECKS):
            targets = self._directory.targets_at(address)
            if len(targets) < 2:
                return
            name = await self._async_identify(targets)
            if name is not None:
                for target in targets:
                    if target.name != name:
                        self._directory.mark_replaced(target.id, suspend_aware_now())
                # Another entry may have named the address meanwhile.
                continue
            await asyncio.sleep(RECHECK_INTERVAL)

    async def _async_identify(self, targets: list[Target]) -> str | None:
        """Return the name of the target that answers, None if none does."""
        configuration = self._configuration.current
        if configuration is None:
            return None
        for target in sorted(targets, key=lambda it: it.revision, reverse=True):
            service = configuration.services_by_name.get(target.service)
            if service is None:
                continue
            try:
                async with asyncio.timeout(CHECK_TIMEOUT):
                    head = await self._client.async_check_health(target, service)
            except (ExchangeError, TimeoutError):
                continue
            if head.instance is not None:
                return head.instance
        return None
