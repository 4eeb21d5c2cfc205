"""A task that runs until it is stopped."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
import logging
from typing import Any, Final

from swiftpin.core import callback

_LOGGER: Final = logging.getLogger(__name__)


class BackgroundTask:
    """Starts and stops one coroutine that is not meant to end by itself."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._task: asyncio.Task[None] | None = None

    @callback
    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run the coroutine."""
        self._task = asyncio.create_task(coroutine, name=self._name)
        self._task.add_done_callback(self._note_end)

    async def async_stop(self) -> None:
        """Cancel the coroutine and wait for its end."""
        if self._task is None:
            return
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await asyncio.wait([self._task])
        self._task = None

    def _note_end(self, task: asyncio.Task[None]) -> None:
        """Log an end that nobody asked for.

        The task's work would stop without a sign; the line shows why.
        """
        if task.cancelled():
            return
        _LOGGER.error("event=task_ended task=%s", self._name, exc_info=task.exception())
