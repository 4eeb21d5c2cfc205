"""Tasks that run as long as an instance does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from eliot import log_message

from swiftpin.core import callback


class BackgroundTasks:
    """Runs tasks, and tells when one of them broke.

    A task that ended silently would leave an instance that looks well but, for
    instance, follows no changes any more.
    """

    def __init__(self, on_failed: Callable[[], None]) -> None:
        self._on_failed = on_failed
        self._tasks: list[asyncio.Task[None]] = []

    @callback
    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine."""
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._handle_done)
        self._tasks.append(task)

    async def async_unload(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @callback
    def _handle_done(self, task: asyncio.Task[None]) -> None:
        """Tell of a task that ended by itself."""
        if task.cancelled():
            return
        log_message(
            message_type="task_failed", level="error", error=repr(task.exception())
        )
        self._on_failed()
