"""Trace events of a stand-in target that runs in the test's process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from swiftpin.trace.trace_event import TraceEvent
from swiftpin.trace.writer import encode_event


class EventLog:
    """Events in the order of their recording.

    A function in `reactions_by_kind` is called at once at each event of its kind, so
    that something happens in the middle of an execution without waiting for luck.
    """

    def __init__(self) -> None:
        self._changed = asyncio.Event()
        self.events: list[TraceEvent] = []
        self.reactions_by_kind: dict[str, Callable[[], object]] = {}

    def add(self, event: TraceEvent) -> None:
        """Take an event."""
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
        if reaction := self.reactions_by_kind.get(event.kind):
            reaction()

    def kinds(self) -> list[str]:
        """Return the kinds of the events."""
        return [event.kind for event in self.events]

    def text(self) -> str:
        """Return the events as the lines of a trace file."""
        return b"".join(encode_event(event) for event in self.events).decode()

    async def async_wait(self, kind: str) -> None:
        """Wait until an event of the kind is there."""
        async with asyncio.timeout(10):
            while kind not in self.kinds():
                await self._changed.wait()
