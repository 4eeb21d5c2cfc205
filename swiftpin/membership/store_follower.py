"""Following one part of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from random import Random
from typing import Final

from swiftpin.core import monotonic_now
from swiftpin.exceptions import StoreError
from swiftpin.membership.background_task import BackgroundTask
from swiftpin.membership.backoff import Backoff
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.malformed_object_error import MalformedObjectError
from swiftpin.membership.news_settings import NewsSettings
from swiftpin.membership.object_fetcher import Adopt, ObjectFetcher
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.membership.poll_schedule import PollSchedule
from swiftpin.membership.store_contact import StoreContact
from swiftpin.membership.store_reader import StoreReader
from swiftpin.membership.store_source import StoreSource
from swiftpin.store.listing import Listing
from swiftpin.store.watch_event import WatchEvent

_LOGGER: Final = logging.getLogger(__name__)

_IDLE_INTERVAL: Final = 0.5


class StoreFollower:
    """Reads a source at start, then watches it if this instance is to, else rests.

    A resting instance gets news from others; it lists the source again only when
    nobody is known to have heard from the store for long.
    """

    def __init__(
        self,
        *,
        source: StoreSource,
        store: StoreReader,
        fetcher: ObjectFetcher,
        adopt: Adopt,
        contact: StoreContact,
        is_watcher: Callable[[], bool],
        is_loaded: Callable[[], bool],
        note_read: Callable[[], None],
        schedule: PollSchedule,
        counters: PeerCounters,
        settings: NewsSettings,
        random: Random,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._source = source
        self._store = store
        self._fetcher = fetcher
        self._adopt = adopt
        self._contact = contact
        self._is_watcher = is_watcher
        self._is_loaded = is_loaded
        self._note_read = note_read
        self._schedule = schedule
        self._counters = counters
        self._settings = settings
        self._backoff = Backoff(
            random, settings.backoff_initial, settings.backoff_limit
        )
        self._relist_backoff = Backoff(
            random, settings.backoff_initial, settings.backoff_limit
        )
        self._clock = clock
        self._revision: int | None = None
        self._task = BackgroundTask("store follower")
        self.has_read = False

    async def async_setup(self) -> None:
        """Start following."""
        self._task.start(self._async_run)

    async def async_unload(self) -> None:
        """Stop following."""
        await self._task.async_stop()

    async def _async_run(self) -> None:
        """Take one step after the other; wait longer after each failure."""
        while True:
            try:
                await self._async_step()
            except StoreError as err:
                _LOGGER.warning(
                    "event=store_read_failed prefix=%s error=%s",
                    self._source.watch_prefix,
                    err,
                )
                await asyncio.sleep(self._backoff.next_delay())
            else:
                self._backoff.reset()

    async def _async_step(self) -> None:
        """Load, watch or rest, whichever is due."""
        if self._is_watcher():
            await self._async_watch()
        elif not self.has_read and not self._is_loaded():
            await self._async_load()
        else:
            await self._async_rest()

    async def _async_watch(self) -> None:
        """Wait once for changes."""
        if not self.has_read:
            await self._async_load()
            return
        if self._revision is None:
            await self._async_list()
            return
        self._counters.store_calls += 1
        result = await self._store.async_watch(
            self._source.watch_prefix, self._revision, self._settings.watch_wait
        )
        self._contact.note(self._clock())
        if result is None:
            await self._async_start_over()
            return
        self._relist_backoff.reset()
        self._revision = result.revision
        if result.events:
            self._take_events(result.events)
            # Each write would otherwise end every watcher's watch: at several
            # hundred writes a second the watches alone would use up the store's
            # rate of reads. Changes in between come together with the next watch.
            await asyncio.sleep(self._settings.watch_pause)

    def _take_events(self, events: list[WatchEvent]) -> None:
        """Ask for the objects that have changed."""
        for event in events:
            if event.deleted:
                self._fetcher.forget(event.name)
            elif self._source.covers(event.name):
                self._fetcher.want(event.name, event.version)

    async def _async_start_over(self) -> None:
        """Have the source listed again, since the watch cannot resume.

        A store that forgets its revisions faster than they are listed would be
        listed without a pause; each further time waits longer.
        """
        self._revision = None
        await asyncio.sleep(self._relist_backoff.next_delay())

    async def _async_rest(self) -> None:
        """Sleep a while, then list the source if that is due."""
        await asyncio.sleep(_IDLE_INTERVAL)
        now = self._clock()
        if not self._schedule.is_due(self._contact.age(now), now):
            return
        self._schedule.note_poll(now)
        await self._async_list()

    async def _async_load(self) -> None:
        """Read every object of the source."""
        revision = None
        for prefix in self._source.prefixes:
            listing = await self._async_list_prefix(prefix, bodies=True)
            revision = _earlier(revision, listing.revision)
            self._adopt_all(listing)
        self._revision = revision
        self.has_read = True
        self._note_read()

    async def _async_list(self) -> None:
        """List the source and ask for the objects that are newer there."""
        revision = None
        for prefix in self._source.prefixes:
            listing = await self._async_list_prefix(prefix, bodies=False)
            revision = _earlier(revision, listing.revision)
            for stored in listing.objects_by_name.values():
                self._fetcher.want(stored.name, stored.version)
        self._revision = revision

    async def _async_list_prefix(self, prefix: str, *, bodies: bool) -> Listing:
        """List one prefix and note that the store answered."""
        self._counters.store_calls += 1
        listing = await self._store.async_list(prefix, bodies=bodies)
        self._contact.note(self._clock())
        return listing

    def _adopt_all(self, listing: Listing) -> None:
        """Take over the objects of a listing that can be ordered."""
        for stored in listing.objects_by_name.values():
            try:
                obj = CachedObject.from_stored(stored)
            except MalformedObjectError as err:
                _LOGGER.error(
                    "event=malformed_object name=%s error=%s", stored.name, err
                )
                continue
            self._adopt(obj)


def _earlier(first: int | None, second: int) -> int:
    """Return the earlier of two revisions, of which the first may be missing."""
    return second if first is None else min(first, second)
