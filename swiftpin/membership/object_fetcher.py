"""Reading of objects that the store is known to have in a newer version."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from random import Random
from typing import Final

from swiftpin.core import callback
from swiftpin.exceptions import StoreError
from swiftpin.helpers.event_wait import async_wait_event
from swiftpin.membership.background_task import BackgroundTask
from swiftpin.membership.backoff import Backoff
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.malformed_object_error import MalformedObjectError
from swiftpin.membership.news_settings import NewsSettings
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.membership.store_reader import StoreReader
from swiftpin.store.stored_object import StoredObject

_LOGGER: Final = logging.getLogger(__name__)

CONCURRENT_READS: Final = 8
MAX_TRIES: Final = 10
"""Reads of one version, after which only the next listing asks for it again."""

Adopt = Callable[[CachedObject], None]
"""Takes over what was read."""


class ObjectFetcher:
    """Reads each wanted object until its version is at least the wanted one.

    A read may be stale and show an earlier version than the watch told of; taken
    for the answer, it would leave this instance behind until the next change.
    """

    def __init__(
        self,
        *,
        store: StoreReader,
        cache: ObjectCache,
        adopt: Adopt,
        counters: PeerCounters,
        settings: NewsSettings,
        random: Random,
    ) -> None:
        self._store = store
        self._cache = cache
        self._adopt = adopt
        self._counters = counters
        self._settings = settings
        self._random = random
        self._backoff = Backoff(
            random, settings.backoff_initial, settings.backoff_limit
        )
        self._versions_by_name: dict[str, int] = {}
        self._tries_by_name: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._task = BackgroundTask("object fetcher")

    async def async_setup(self) -> None:
        """Start reading."""
        self._task.start(self._async_run)

    async def async_unload(self) -> None:
        """Stop reading."""
        await self._task.async_stop()

    @callback
    def want(self, name: str, version: int) -> None:
        """Ask for a version of an object, or a later one."""
        if not self._is_behind(name, version):
            return
        self._versions_by_name[name] = max(version, self._versions_by_name.get(name, 0))
        self._tries_by_name[name] = 0
        self._wake.set()

    @callback
    def forget(self, name: str) -> None:
        """Ask no longer for an object, which was deleted."""
        self._versions_by_name.pop(name, None)
        self._tries_by_name.pop(name, None)

    async def _async_run(self) -> None:
        """Read what is wanted, after a delay in which news may bring it."""
        while True:
            await self._async_wait()
            await asyncio.sleep(self._random.uniform(0, self._settings.read_delay))
            await self._async_read_wanted()

    async def _async_wait(self) -> None:
        """Wait for something wanted, or for the next try of what is left.

        What is wanted anew ends the wait: one object that can't be read would
        otherwise hold all others back for the longest delay.
        """
        if self._versions_by_name:
            await async_wait_event(self._wake, self._backoff.next_delay())
        else:
            self._backoff.reset()
            await self._wake.wait()
        self._wake.clear()

    async def _async_read_wanted(self) -> None:
        """Read each wanted object once."""
        names = list(self._versions_by_name)
        for start in range(0, len(names), CONCURRENT_READS):
            chunk = names[start : start + CONCURRENT_READS]
            await asyncio.gather(*(self._async_read(name) for name in chunk))

    async def _async_read(self, name: str) -> None:
        """Read one object and settle what is wanted of it."""
        version = self._versions_by_name.get(name, 0)
        if not self._is_behind(name, version):
            self.forget(name)
            return
        self._counters.store_calls += 1
        try:
            stored = await self._store.async_get(name)
        except StoreError as err:
            _LOGGER.debug("event=read_failed name=%s error=%s", name, err)
            return
        if stored is not None:
            self._adopt_stored(stored)
        self._settle(name, stored.version if stored is not None else 0)

    def _adopt_stored(self, stored: StoredObject) -> None:
        """Take over what was read, if it can be ordered."""
        try:
            obj = CachedObject.from_stored(stored)
        except MalformedObjectError as err:
            _LOGGER.error("event=malformed_object name=%s error=%s", stored.name, err)
            return
        self._adopt(obj)

    def _settle(self, name: str, version: int) -> None:
        """Stop asking when the read was new enough, or after many tries."""
        if name not in self._versions_by_name:
            return
        self._tries_by_name[name] += 1
        is_new_enough = version >= self._versions_by_name[name]
        if is_new_enough or self._tries_by_name[name] >= MAX_TRIES:
            self.forget(name)

    def _is_behind(self, name: str, version: int) -> bool:
        """Return whether the cached version is earlier than the store's."""
        known = self._cache.get(name)
        return known is None or known.version < version
