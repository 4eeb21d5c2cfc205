"""Group commit of a journal's records."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from random import Random

from swiftpin.core import callback
from swiftpin.dispatch.archiver import Archiver
from swiftpin.dispatch.backoff import Backoff
from swiftpin.dispatch.clock import Clock
from swiftpin.dispatch.commit import Commit
from swiftpin.dispatch.conditional_object import ConditionalObject
from swiftpin.dispatch.exceptions import PageTakenError
from swiftpin.dispatch.head_page import HeadPage
from swiftpin.dispatch.journal_settings import JournalSettings
from swiftpin.dispatch.journal_store import JournalStore
from swiftpin.dispatch.wall_clock import CLOCK_SKEW, WallClock
from swiftpin.dispatch.write_pace import WritePace
from swiftpin.exceptions import StoreError


class JournalWriter:
    """Writes the head page again and again, each time with all new records.

    While one write is in flight the next batch gathers. After a failed write it
    goes on trying, which also finds out when the store is back.
    """

    def __init__(
        self,
        store: JournalStore,
        page: ConditionalObject,
        settings: JournalSettings,
        rng: Random,
        *,
        holder: str,
        clock: Clock,
        wall: WallClock,
    ) -> None:
        self.head = HeadPage()
        self.available = True
        self.deposed = False
        self.term = 0
        self._active = False
        self._nonce = f"{rng.getrandbits(64):016x}"
        self._head_writes = 0
        self._head_bytes = 0
        self._store = store
        self._page = page
        self._settings = settings
        self._backoff = Backoff(settings.retry_base, settings.retry_cap, rng)
        self._holder = holder
        self._clock = clock
        self._wall = wall
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._next: Commit | None = None
        self._failures = 0
        self._pace = WritePace(settings.min_interval, settings.write_burst)
        self._attempts = 0
        self._archiver = Archiver(store, page.name, settings, self._nonce)
        self._garbage: list[str] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def writes(self) -> int:
        """Return how many writes were started."""
        return self._head_writes + self._archiver.writes

    @property
    def bytes_written(self) -> int:
        """Return the bytes of the writes that were started."""
        return self._head_bytes + self._archiver.bytes_written

    @property
    def lock(self) -> asyncio.Lock:
        """Return the lock that keeps writes out while the journal is opened."""
        return self._lock

    @callback
    def touch(self) -> Commit:
        """Return the next batch, which carries everything put so far."""
        if not self._active:
            commit = Commit()
            commit.done.set_result(False)
            return commit
        if self._next is None:
            self._next = Commit()
        self._wake.set()
        return self._next

    @callback
    def next_writer_id(self) -> str:
        """Return an id that no other write of this or another holder has."""
        self._attempts += 1
        return f"{self._holder}:{self._nonce}:{self._attempts}"

    @callback
    def start(self, term: int) -> None:
        """Write for a term from now on; the store has just answered."""
        self.term = term
        self.available = True
        self.deposed = False
        self._active = True
        self._failures = 0
        if self._task is None:
            self._task = asyncio.create_task(self._async_run())
            # Were the task to end by a fault of its own, requests would wait for
            # records that nobody writes; as deposed they are refused at once.
            self._task.add_done_callback(lambda _: self._depose())

    @callback
    def suspend(self) -> None:
        """Write nothing until the next start; batches that wait end as not durable."""
        self._active = False
        self._archiver.reset()
        if self._next is not None and not self._next.done.done():
            self._next.done.set_result(False)
        self._next = None

    @callback
    def discard(self, names: Iterable[str]) -> None:
        """Delete pages that nothing refers to when there is time."""
        self._garbage.extend(names)

    async def async_flush(self, limit: float) -> None:
        """Wait up to a limit in seconds until everything put so far is durable."""
        if self.available and (self._next is not None or self._lock.locked()):
            await self.touch().async_wait(limit)

    async def async_stop(self) -> None:
        """Stop writing; batches that wait end as not durable."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
            self._task = None
        self._depose()

    async def _async_run(self) -> None:
        """Write batch after batch."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(self._pause(self._clock()))
            async with self._lock:
                self._wake.clear()
                if self._active:
                    await self._async_commit()
            await self._async_delete_garbage()

    def _pause(self, now: float) -> float:
        """Return how long to wait before the next write in seconds."""
        if self._failures:
            return self._backoff.delay(self._failures)
        return self._pace.pause(now)

    async def _async_commit(self) -> None:
        """Write one batch and tell those who wait for it."""
        commit = self._next or Commit()
        self._next = None
        self._pace.record_write(self._clock())
        durable = False
        try:
            oldest = self._oldest()
            await self._archiver.async_shrink(self.head, self.term, oldest)
            self.head.drop_expired_archives(oldest)
            await self._async_write_head()
            durable = True
            self._failures = 0
            self.available = True
        except PageTakenError:
            self._depose()
        except StoreError:
            self._failures += 1
            self.available = False
            self._wake.set()
        finally:
            if not commit.done.done():
                commit.done.set_result(durable)

    async def _async_write_head(self) -> None:
        """Replace the head page."""
        dropped = self.head.take_dropped()
        writer = self.next_writer_id()
        body = self.head.body(self.term, self._holder, writer)
        self._head_writes += 1
        self._head_bytes += len(body)
        await self._page.async_write(writer, body)
        self._garbage.extend(dropped)

    def _oldest(self) -> int:
        """Return the wall time in ms before which records are forgotten."""
        kept = self._settings.retention + CLOCK_SKEW
        return self._wall.to_wall(self._clock() - kept)

    async def _async_delete_garbage(self) -> None:
        """Delete a page to which the head refers no longer, one after each write."""
        if self._garbage and self.available and self._active:
            name = self._garbage.pop()
            with suppress(StoreError):
                await self._store.async_delete(name)

    def _depose(self) -> None:
        """Stop: another holder owns the journal, or it was closed."""
        self.deposed = True
        self.suspend()
