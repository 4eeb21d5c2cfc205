"""Comparison of digests with other instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from random import Random
from typing import Final

from swiftpin.core import monotonic_now
from swiftpin.exceptions import PeerError
from swiftpin.membership.background_task import BackgroundTask
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.digest_table import BUCKETS
from swiftpin.membership.news_settings import NewsSettings
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.peer_clients import PeerClients
from swiftpin.membership.peer_view import PeerView
from swiftpin.membership.pusher import NewsPusher
from swiftpin.membership.repair_reply import RepairReply
from swiftpin.membership.round_share import choose_share
from swiftpin.membership.stamp import Stamp
from swiftpin.membership.store_contact import StoreContact

_LOGGER: Final = logging.getLogger(__name__)

_JITTER: Final = 0.3


class DigestComparer:
    """Compares with one other instance after the other and evens out differences.

    Pushed news may be lost, and an instance may have been cut off or just started;
    each would otherwise stay behind until the same object changes again.
    """

    def __init__(
        self,
        *,
        cache: ObjectCache,
        view: PeerView,
        clients: PeerClients,
        pusher: NewsPusher,
        contact: StoreContact,
        adopt_repaired: Callable[[CachedObject, str], None],
        note_level: Callable[[], None],
        settings: NewsSettings,
        random: Random,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._cache = cache
        self._view = view
        self._clients = clients
        self._pusher = pusher
        self._contact = contact
        self._adopt_repaired = adopt_repaired
        self._note_level = note_level
        self._settings = settings
        self._random = random
        self._clock = clock
        self._has_more = False
        self._has_failed = False
        self._task = BackgroundTask("digest comparer")

    async def async_setup(self) -> None:
        """Start comparing."""
        self._task.start(self._async_run)

    async def async_unload(self) -> None:
        """Stop comparing."""
        await self._task.async_stop()

    async def _async_run(self) -> None:
        """Compare again and again."""
        while True:
            await asyncio.sleep(self._next_delay())
            await self.async_run_once()

    async def async_run_once(self) -> None:
        """Compare with one peer chosen by chance, if there is any."""
        peer = self._choose_peer()
        if peer is None:
            return
        self._has_failed = False
        try:
            await self.async_compare_with(peer)
        except PeerError as err:
            self._has_failed = True
            _LOGGER.debug("event=compare_failed with=%s error=%s", peer, err)

    def _choose_peer(self) -> str | None:
        """Return the name of another instance, None when there is none."""
        peers = list(self._view.infos_by_name(self._clock()))
        return self._random.choice(peers) if peers else None

    def _next_delay(self) -> float:
        """Return the jittered time in seconds until the next comparison.

        After a failure it is shorter: while a lost zone is still listed, the others
        would else repair the more slowly just when most has to be repaired.
        """
        settings = self._settings
        interval = settings.compare_interval
        if self._has_failed:
            interval = settings.retry_interval
        if self._has_more:
            interval = settings.catch_up_interval
        return interval * self._random.uniform(1 - _JITTER, 1 + _JITTER)

    async def async_compare_with(self, peer: str) -> None:
        """Compare with one peer and repair a limited share; raises `PeerError`."""
        self._has_more = False
        asked_at = self._clock()
        reply = await self._clients.async_compare(peer, self._cache.digests.root)
        self._contact.merge(reply.store_age, asked_at)
        if reply.buckets is not None:
            await self._async_repair(peer, self._differing(peer, reply.buckets))
        if reply.loaded and not self._has_more:
            self._note_level()

    def _differing(self, peer: str, digests: tuple[int, ...]) -> list[int]:
        """Return the buckets in which a peer's objects differ."""
        if len(digests) != BUCKETS:
            raise PeerError(f"{peer} divides objects into {len(digests)} buckets")
        return self._cache.digests.differing(digests)

    async def _async_repair(self, peer: str, differing: list[int]) -> None:
        """Exchange what differs in some of the buckets."""
        buckets, stamps_by_name = self._choose_buckets(differing)
        reply = await self._clients.async_repair(peer, buckets, stamps_by_name)
        for item in reply.items:
            obj = item.to_object()
            if obj is not None:
                self._adopt_repaired(obj, peer)
        limit = self._settings.repair_size
        share = choose_share(self._cache, reply.wanted, limit, self._random)
        wanted = frozenset(obj.name for obj in share)
        self._has_more = len(buckets) < len(differing) or self._was_cut(reply, wanted)
        await self._pusher.async_send_bodies(peer, wanted)

    def _choose_buckets(
        self, differing: list[int]
    ) -> tuple[list[int], dict[str, Stamp]]:
        """Return buckets, from a start chosen by chance, and the stamps in them.

        Always from the first bucket on, a peer that can't be brought to agree on
        the first ones would keep the last ones from ever being repaired.
        """
        buckets: list[int] = []
        stamps_by_name: dict[str, Stamp] = {}
        start = self._random.randrange(len(differing)) if differing else 0
        for bucket in differing[start:] + differing[:start]:
            if len(stamps_by_name) >= self._settings.repair_stamps:
                break
            buckets.append(bucket)
            stamps_by_name |= self._cache.stamps_in(bucket)
        return buckets, stamps_by_name

    def _was_cut(self, reply: RepairReply, sent: frozenset[str]) -> bool:
        """Return whether the limit of a round left something to repair."""
        received = sum(item.size for item in reply.items)
        is_full = received > self._settings.repair_size // 2
        return is_full or len(sent) < len(reply.wanted)
