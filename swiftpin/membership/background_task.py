"""A task that runs until it is stopped."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
import logging
from typing import Any, Final

from swiftpin.core import callback

_LOGGER: Final = logging.getLogger(__name__)

DEFAULT_RESTART_DELAY: Final = 1.0


class BackgroundTask:
    """Runs one coroutine that is not meant to end by itself.

    An error that nobody foresaw ends it with a log line, and after `restart_delay`
    seconds it starts anew. Without that its work would stop for good with no other
    sign than that, for instance, no news arrives any more.
    """

    def __init__(
        self, name: str, *, restart_delay: float = DEFAULT_RESTART_DELAY
    ) -> None:
        self._name = name
        self._restart_delay = restart_delay
        self._task: asyncio.Task[None] | None = None

    @callback
    def start(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run the coroutine that the function makes."""
        self._task = asyncio.create_task(self._async_run(run), name=self._name)

    async def async_stop(self) -> None:
        """Cancel the coroutine and wait for its end."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.wait([self._task])
        self._task = None

    async def _async_run(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run the coroutine, again after each error."""
        while True:
            try:
                await run()
            except Exception:
                _LOGGER.exception("event=task_failed task=%s", self._name)
            else:
                return
            await asyncio.sleep(self._restart_delay)
