"""Tasks that run for the lifetime of an instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from eliot import log_message

from swiftpin.core import callback


class BackgroundTasks:
    """Runs tasks and reports when one of them fails.

    After a silent failure of a task the instance would look healthy but, for example,
    no longer follow changes in the store.
    """

    def __init__(self, on_failed: Callable[[], None]) -> None:
        self._on_failed = on_failed
        self._tasks: list[asyncio.Task[None]] = []

    @callback
    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._handle_done)
        self._tasks.append(task)

    async def async_unload(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @callback
    def _handle_done(self, task: asyncio.Task[None]) -> None:
        """Report a task that ended without being cancelled."""
        if task.cancelled():
            return
        log_message(
            message_type="task_failed", level="error", error=repr(task.exception())
        )
        self._on_failed()
