"""A store in memory whose faults tests choose."""

from __future__ import annotations

import asyncio

from swiftpin.exceptions import StoreUnavailableError
from swiftpin.store.listing import Listing
from swiftpin.store.stored_object import StoredObject
from swiftpin.store.watch_event import WatchEvent
from swiftpin.store.watch_result import WatchResult


class FakeStore:
    """Implements `StoreReader`.

    `is_out` fails each call. `stale_reads` is how many of the next reads of one
    object show its state before the last write; an object in `hidden` is never
    found, though it is listed.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.history_by_name: dict[str, list[StoredObject]] = {}
        self.events: list[WatchEvent] = []
        self.oldest_revision = 0
        self.is_out = False
        self.stale_reads = 0
        self.hidden: set[str] = set()
        self.gets = 0
        self.lists = 0
        self.watches = 0
        self.changed = asyncio.Event()

    def put(self, name: str, body: bytes = b"{}") -> int:
        """Write an object and return its version."""
        self.revision += 1
        stored = StoredObject(name=name, version=self.revision, body=body)
        self.history_by_name.setdefault(name, []).append(stored)
        self.events.append(WatchEvent(name=name, version=self.revision, deleted=False))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def async_get(self, name: str) -> StoredObject | None:
        """Return the object, an earlier version of it while reads are stale."""
        await self._async_check()
        self.gets += 1
        history = self.history_by_name.get(name, [])
        if name in self.hidden:
            return None
        if self.stale_reads > 0:
            self.stale_reads -= 1
            history = history[:-1]
        return history[-1] if history else None

    async def async_list(self, prefix: str, *, bodies: bool = False) -> Listing:
        """Return the objects under the prefix."""
        await self._async_check()
        self.lists += 1
        newest = [history[-1] for history in self.history_by_name.values()]
        return Listing(
            revision=self.revision,
            objects_by_name={
                item.name: StoredObject(
                    name=item.name,
                    version=item.version,
                    body=item.body if bodies else b"",
                )
                for item in newest
                if item.name.startswith(prefix)
            },
        )

    async def async_watch(
        self, prefix: str, after: int, wait: float
    ) -> WatchResult | None:
        """Wait for changes after a revision."""
        await self._async_check()
        self.watches += 1
        if after < self.oldest_revision:
            return None
        if not self._events(prefix, after):
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except TimeoutError:
                await self._async_check()
        if after < self.oldest_revision:
            return None
        return WatchResult(revision=self.revision, events=self._events(prefix, after))

    def _events(self, prefix: str, after: int) -> list[WatchEvent]:
        """Return the events under a prefix after a revision."""
        return [
            event
            for event in self.events
            if event.version > after and event.name.startswith(prefix)
        ]

    async def _async_check(self) -> None:
        """Fail during an outage."""
        await asyncio.sleep(0)
        if self.is_out:
            raise StoreUnavailableError("the store is out")
