"""Answers to requests whose exchanges were cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from swiftpin.core import callback
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_connection import HttpConnection
from swiftpin.exceptions import AnswerBrokenError


@dataclass(frozen=True, kw_only=True, slots=True)
class LateAnswers:
    """What becomes of the answer to a request whose exchange was cancelled."""

    time_left: Callable[[], float]
    """Called on the cancellation; returns for how many seconds the answer is awaited
    before the connection is closed."""

    on_answer: Callable[[HttpAnswer], object]
    """Called with the head of the answer, if it comes."""


class LateReads:
    """Reads late answers in the background."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    @callback
    def start(
        self,
        connection: HttpConnection,
        late: LateAnswers,
        read: Callable[[], Coroutine[None, None, HttpAnswer]],
    ) -> None:
        """Read an answer if it is still awaited, then close its connection."""
        seconds = late.time_left()
        if seconds <= 0:
            connection.abort()
            return
        task = connection.loop.create_task(_async_read(connection, late, read, seconds))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @callback
    def unload(self) -> None:
        """Cancel all reads."""
        for task in self._tasks:
            task.cancel()


async def _async_read(
    connection: HttpConnection,
    late: LateAnswers,
    read: Callable[[], Coroutine[None, None, HttpAnswer]],
    seconds: float,
) -> None:
    """Read the head of an answer that nobody awaits any more."""
    try:
        async with asyncio.timeout(seconds):
            late.on_answer(await read())
    except (AnswerBrokenError, TimeoutError):
        # Nobody needs the answer.
        return
    finally:
        connection.abort()
