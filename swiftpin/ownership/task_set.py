"""Tasks that end together."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from swiftpin.core import callback


class TaskSet:
    """Keeps tasks referenced while they run, and ends what is left."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    @callback
    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> None:
        """Run a coroutine as a task."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def async_cancel(self) -> None:
        """Cancel every task and wait for its end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
