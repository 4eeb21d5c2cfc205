"""Passing news on to a few other instances."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
import logging
from random import Random
from typing import Final

from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import PeerError
from swiftpin.membership.background_task import BackgroundTask
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.instance_id import name_of
from swiftpin.membership.neighbours import choose_neighbours
from swiftpin.membership.news_item import NewsItem
from swiftpin.membership.news_settings import NewsSettings
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.peer_clients import PeerClients
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.membership.peer_view import PeerView

_LOGGER: Final = logging.getLogger(__name__)

MAX_SENDS: Final = 32
"""Messages under way at once; further ones are dropped and left to repair."""


class NewsPusher:
    """Sends each object that was new here to neighbours chosen by chance.

    Best effort: a message that fails goes to a spare peer while there are any, and
    is then given up, since the comparison of digests repairs what it would have
    brought.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        zone: str,
        cache: ObjectCache,
        view: PeerView,
        clients: PeerClients,
        counters: PeerCounters,
        settings: NewsSettings,
        seed: int,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._zone = zone
        self._cache = cache
        self._view = view
        self._clients = clients
        self._counters = counters
        self._settings = settings
        self._random = Random(f"pusher/{instance_id}/{seed}")
        self._clock = clock
        self._sources_by_name: dict[str, str | None] = {}
        self._wake = asyncio.Event()
        self._sends: set[asyncio.Task[None]] = set()
        self._task = BackgroundTask("news pusher")

    async def async_setup(self) -> None:
        """Start sending."""
        self._task.start(self._async_run)

    async def async_unload(self) -> None:
        """Stop sending."""
        await self._task.async_stop()
        sends = list(self._sends)
        for send in sends:
            send.cancel()
        await asyncio.gather(*sends, return_exceptions=True)

    @callback
    def add(self, name: str, source: str | None) -> None:
        """Pass the object's newest version on, but not to where it came from."""
        self._sources_by_name[name] = name_of(source) if source else None
        self._wake.set()

    async def _async_run(self) -> None:
        """Send what was added, in batches."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._sources_by_name:
                await asyncio.sleep(self._settings.push_interval)
                self._send_batch()

    def _send_batch(self) -> None:
        """Start to send one message's worth to each neighbour."""
        sources_by_name = self._take_batch()
        if not sources_by_name:
            return
        neighbours = self._choose(self._settings.fan_out)
        others = self._choose(self._settings.fan_out + self._settings.spares)
        spares = deque(name for name in others if name not in neighbours)
        for neighbour in neighbours:
            names = [
                name for name, source in sources_by_name.items() if source != neighbour
            ]
            self._start_send(neighbour, self._objects(names), spares)

    def _choose(self, count: int) -> list[str]:
        """Return the names of peers, chosen by chance."""
        peers_by_name = self._view.infos_by_name(self._clock())
        return choose_neighbours(self._random, self._zone, peers_by_name, count)

    def _take_batch(self) -> dict[str, str | None]:
        """Return the oldest added names with their sources, up to a message's size."""
        taken: dict[str, str | None] = {}
        size = 0
        while self._sources_by_name and size < self._settings.push_size:
            name = next(iter(self._sources_by_name))
            taken[name] = self._sources_by_name.pop(name)
            size += sum(self._item(obj).size for obj in self._objects([name]))
        return taken

    def _objects(self, names: list[str]) -> list[CachedObject]:
        """Return the newest versions of the objects."""
        found = [self._cache.get(name) for name in names]
        return [obj for obj in found if obj is not None]

    def _item(self, obj: CachedObject) -> NewsItem:
        """Return the form in which an object is sent unasked."""
        if len(obj.body) > self._settings.announce_size:
            return NewsItem.announcement(obj)
        return NewsItem.whole(obj)

    def _start_send(
        self, neighbour: str, objects: list[CachedObject], spares: deque[str]
    ) -> None:
        """Send in a task of its own, so that a frozen neighbour delays no other."""
        if not objects:
            return
        if len(self._sends) >= MAX_SENDS:
            self._counters.news_dropped += 1
            return
        task = asyncio.create_task(self._async_send(neighbour, objects, spares))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)

    async def _async_send(
        self, neighbour: str, objects: list[CachedObject], spares: deque[str]
    ) -> None:
        """Send objects to a neighbour, to a spare one when that fails.

        The list lags, so that some neighbours are gone; were they not replaced,
        news would reach the fewer instances the more have just been lost.
        """
        while True:
            try:
                await self._async_send_to(neighbour, objects)
            except PeerError as err:
                _LOGGER.debug("event=push_failed to=%s error=%s", neighbour, err)
            else:
                return
            if not spares:
                return
            neighbour = spares.popleft()

    async def _async_send_to(self, neighbour: str, objects: list[CachedObject]) -> None:
        """Send objects to a neighbour, then the bodies that it asks for."""
        items = [self._item(obj) for obj in objects]
        reply = await self._clients.async_push_news(neighbour, items)
        known = len(items) - len(reply.adopted) - len(reply.wanted)
        self._counters.news_duplicates += known
        try:
            await self.async_send_bodies(neighbour, reply.wanted)
        except PeerError:
            # The neighbour asks nobody else for a while, so a body lost once would
            # hold it back until a comparison; the first loss is made good here.
            await self.async_send_bodies(neighbour, reply.wanted)

    async def async_send_bodies(self, peer: str, names: frozenset[str]) -> None:
        """Send the newest versions in whole, a limited size a message.

        Raises `PeerError`.
        """
        batch: list[NewsItem] = []
        size = 0
        for obj in self._objects(sorted(names)):
            item = NewsItem.whole(obj)
            if batch and size + item.size > self._settings.push_size:
                await self._clients.async_push_news(peer, batch)
                batch, size = [], 0
            batch.append(item)
            size += item.size
        if batch:
            await self._clients.async_push_news(peer, batch)
