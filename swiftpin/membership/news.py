"""News: how each instance learns the newest version of each store object."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from swiftpin.core import callback, monotonic_now
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.compare_reply import CompareReply
from swiftpin.membership.comparer import DigestComparer
from swiftpin.membership.digest_table import BUCKETS
from swiftpin.membership.directory import InstanceDirectory
from swiftpin.membership.instance_id import name_of
from swiftpin.membership.neighbours import choose_watchers
from swiftpin.membership.news_item import NewsItem
from swiftpin.membership.news_settings import NewsSettings
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.object_fetcher import ObjectFetcher
from swiftpin.membership.peer_clients import PeerClients
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.membership.peer_view import PeerView
from swiftpin.membership.poll_schedule import PollSchedule
from swiftpin.membership.push_reply import PushReply
from swiftpin.membership.pusher import NewsPusher
from swiftpin.membership.repair_reply import RepairReply
from swiftpin.membership.round_share import choose_share
from swiftpin.membership.stamp import Stamp
from swiftpin.membership.store_contact import StoreContact
from swiftpin.membership.store_follower import StoreFollower
from swiftpin.membership.store_reader import StoreReader
from swiftpin.membership.store_source import SOURCES, is_cached

_REQUEST_PATIENCE: Final = 1.0
"""Time in seconds in which a body asked of one instance is asked of no other."""


class NewsService:
    """Brings news in and passes it on; implements `NewsHandler`.

    Whatever the way, each version goes through the cache's `adopt`, and is passed
    on once, when it was new here.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        zone: str,
        store: StoreReader,
        cache: ObjectCache,
        directory: InstanceDirectory,
        clients: PeerClients,
        counters: PeerCounters,
        settings: NewsSettings,
        seed: int,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._name = name_of(instance_id)
        self._zone = zone
        self._cache = cache
        self._directory = directory
        self._counters = counters
        self._settings = settings
        self._random = Random(f"news/{instance_id}/{seed}")
        self._requests_by_name: dict[str, tuple[Stamp, float]] = {}
        self._loaded = asyncio.Event()
        self.contact = StoreContact()
        view = PeerView(name=self._name, directory=directory, random=self._random)
        self._pusher = NewsPusher(
            instance_id=instance_id,
            zone=zone,
            cache=cache,
            view=view,
            clients=clients,
            counters=counters,
            settings=settings,
            seed=seed,
            clock=clock,
        )
        self.comparer = DigestComparer(
            cache=cache,
            view=view,
            clients=clients,
            pusher=self._pusher,
            contact=self.contact,
            adopt_repaired=self._adopt_repaired,
            note_level=self._note_level,
            settings=settings,
            random=self._random,
            clock=clock,
        )
        self._fetcher = ObjectFetcher(
            store=store,
            cache=cache,
            adopt=self._adopt_read,
            counters=counters,
            settings=settings,
            random=self._random,
        )
        self._followers = [
            StoreFollower(
                source=source,
                store=store,
                fetcher=self._fetcher,
                adopt=self._adopt_read,
                contact=self.contact,
                is_watcher=self.is_watcher,
                is_loaded=self._loaded.is_set,
                note_read=self._note_read,
                schedule=self._schedule(),
                counters=counters,
                settings=settings,
                random=self._random,
                clock=clock,
            )
            for source in SOURCES
        ]
        self._watcher = True
        self._unsubscribe: Callable[[], None] | None = None

    @property
    def is_loaded(self) -> bool:
        """Return whether this instance knows what the store or a peer knows."""
        return self._loaded.is_set()

    async def async_wait_loaded(self) -> None:
        """Wait until `is_loaded`."""
        await self._loaded.wait()

    async def async_setup(self) -> None:
        """Start reading the store, comparing and passing on."""
        self._choose_role()
        self._unsubscribe = self._directory.subscribe(self._choose_role)
        await self._pusher.async_setup()
        await self._fetcher.async_setup()
        await self.comparer.async_setup()
        for follower in self._followers:
            await follower.async_setup()

    async def async_unload(self) -> None:
        """Stop all of it."""
        for follower in self._followers:
            await follower.async_unload()
        await self.comparer.async_unload()
        await self._fetcher.async_unload()
        await self._pusher.async_unload()
        if self._unsubscribe is not None:
            self._unsubscribe()

    @callback
    def is_watcher(self) -> bool:
        """Return whether this instance is one of its zone's that watch the store."""
        return self._watcher

    @callback
    def publish(self, obj: CachedObject) -> None:
        """Adopt a version that this instance has just written and pass it on."""
        if self._cache.adopt(obj):
            self._pusher.add(obj.name, None)

    @callback
    def handle_push(self, sender: str, items: list[NewsItem], now: float) -> PushReply:
        """Adopt what is new, pass it on, and ask for announced bodies."""
        adopted: set[str] = set()
        wanted: set[str] = set()
        for item in items:
            if not is_cached(item.name):
                continue
            obj = item.to_object()
            if obj is None and self._wants(item, now):
                wanted.add(item.name)
            if obj is not None and self._adopt_pushed(obj, sender):
                adopted.add(item.name)
        return PushReply(adopted=frozenset(adopted), wanted=frozenset(wanted))

    @callback
    def handle_compare(self, root: int, now: float) -> CompareReply:
        """Compare the digest of everything."""
        digests = self._cache.digests
        return CompareReply(
            buckets=None if digests.root == root else digests.digests,
            store_age=self.contact.age(now),
            loaded=self.is_loaded,
        )

    @callback
    def handle_repair(
        self, buckets: list[int], stamps_by_name: dict[str, Stamp]
    ) -> RepairReply:
        """Compare the versions in some buckets."""
        newer: list[str] = []
        own_stamps_by_name: dict[str, Stamp] = {}
        for bucket in buckets:
            if 0 <= bucket < BUCKETS:
                own_stamps_by_name |= self._cache.stamps_in(bucket)
        for name, stamp in own_stamps_by_name.items():
            other = stamps_by_name.get(name)
            if other is None or stamp > other:
                newer.append(name)
        wanted = frozenset(
            name
            for name, stamp in stamps_by_name.items()
            if is_cached(name) and self._is_newer(name, stamp)
        )
        share = choose_share(
            self._cache, newer, self._settings.repair_size, self._random
        )
        return RepairReply(items=[NewsItem.whole(obj) for obj in share], wanted=wanted)

    def _wants(self, item: NewsItem, now: float) -> bool:
        """Return whether to ask for an announced body, which one instance sends."""
        if not self._is_newer(item.name, item.stamp):
            return False
        stamp, asked_at = self._requests_by_name.get(item.name, (Stamp(-1, 0), now))
        if stamp >= item.stamp and now - asked_at < _REQUEST_PATIENCE:
            return False
        self._requests_by_name[item.name] = (item.stamp, now)
        return True

    def _is_newer(self, name: str, stamp: Stamp) -> bool:
        """Return whether a version is newer than the known one."""
        known = self._cache.get(name)
        return known is None or stamp > known.stamp

    def _adopt_pushed(self, obj: CachedObject, sender: str) -> bool:
        """Adopt a pushed object and pass it on if it was new."""
        if not self._cache.adopt(obj):
            return False
        self._requests_by_name.pop(obj.name, None)
        self._pusher.add(obj.name, sender)
        return True

    def _adopt_repaired(self, obj: CachedObject, source: str) -> None:
        """Adopt an object that a comparison brought."""
        if not is_cached(obj.name) or not self._cache.adopt(obj):
            return
        self._counters.repaired += 1
        self._pass_on(obj.name, source)

    def _adopt_read(self, obj: CachedObject) -> None:
        """Adopt an object read from the store."""
        if self._cache.adopt(obj):
            self._pass_on(obj.name, None)

    def _pass_on(self, name: str, source: str | None) -> None:
        """Pass an object on, unless it is part of what others know for long.

        An instance that starts learns every object; to push all of them would
        cost as much as if all had changed.
        """
        if self.is_loaded:
            self._pusher.add(name, source)

    def _note_read(self) -> None:
        """Count this instance as loaded once every source was read."""
        if all(follower.has_read for follower in self._followers):
            self._loaded.set()

    def _note_level(self) -> None:
        """Count this instance as loaded, since it knows all that a loaded peer does.

        A peer that is not loaded does not count: two that have just started during
        an outage would take the few objects that both know for all there are, and
        tell callers that services do not exist.
        """
        self._loaded.set()

    def _schedule(self) -> PollSchedule:
        """Return a schedule of polls."""
        return PollSchedule(
            settings=self._settings,
            random=self._random,
            fleet_size=lambda: len(self._directory.instances_by_name),
        )

    def _choose_role(self) -> None:
        """Find out whether this instance watches the store.

        While no list is known there is nobody to get news from.
        """
        infos_by_name = self._directory.instances_by_name
        watchers = choose_watchers(
            self._zone, infos_by_name, self._settings.watchers_per_zone
        )
        self._watcher = not infos_by_name or self._name in watchers
