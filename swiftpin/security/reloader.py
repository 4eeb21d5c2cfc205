"""Reloads changed files while an instance runs."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, Final

from swiftpin.core import callback
from swiftpin.membership.background_task import BackgroundTask
from swiftpin.security.reloadable import Reloadable

RELOAD_INTERVAL: Final = 2.0
"""Seconds between two checks of the files."""


class Reloader:
    """Periodically refreshes the values that are loaded from files."""

    def __init__(self, reloadables: Sequence[Reloadable[Any]]) -> None:
        self._reloadables = reloadables
        self._task = BackgroundTask("reloader")

    @callback
    def setup(self) -> None:
        """Start the task if there is anything to reload."""
        if self._reloadables:
            self._task.start(self._async_run)

    async def async_unload(self) -> None:
        """Stop the task."""
        await self._task.async_stop()

    async def async_refresh(self) -> None:
        """Reload whatever has changed."""
        for reloadable in self._reloadables:
            await reloadable.async_refresh()

    async def _async_run(self) -> None:
        """Refresh at regular intervals."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL)
            await self.async_refresh()
