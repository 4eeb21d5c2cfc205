"""Ending of a block of a task from outside."""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

from swiftpin.core import callback


class TaskInterrupt:
    """Context manager whose block another task may end with an error.

    Cheaper than `asyncio.timeout`, which makes a timer for each block. `task` is the
    task that enters the block, as far as its maker knows it: finding it out takes
    longer than the rest.
    """

    __slots__ = ("_cancelling", "_interrupted", "_task")

    def __init__(self, task: asyncio.Task[object] | None = None) -> None:
        self._task: asyncio.Task[object] | None = task
        self._cancelling = 0
        self._interrupted = False

    def error(self) -> Exception:
        """Return what an interrupted block raises."""
        return TimeoutError()

    @callback
    def interrupt(self) -> None:
        """End the block."""
        if self._task is not None and not self._interrupted:
            self._interrupted = True
            self._task.cancel()

    def __enter__(self) -> Self:
        task = self._task
        if task is None:
            task = self._task = asyncio.current_task()
            assert task is not None
        self._cancelling = task.cancelling()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        task, self._task = self._task, None
        if not self._interrupted:
            return
        # The task may have been cancelled by others too, for instance because the
        # caller left; that cancellation must go on.
        assert task is not None
        cancelled_by_others = task.uncancel() > self._cancelling
        if isinstance(exc, asyncio.CancelledError) and not cancelled_by_others:
            raise self.error() from exc
