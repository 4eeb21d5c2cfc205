"""Selection of the instances that watch the store for the whole fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.permits.permit_broker import PermitBroker

SMALL_FLEET_SIZE: Final = 12
"""Maximum fleet size at which every instance watches the store itself."""

CONFIGURATION_WATCHERS: Final = 3
"""Number of issuers that watch the configuration, in addition to the lease holder."""

MIN_WATCHERS: Final = 2
"""Minimum number of reliable watchers; with fewer an instance watches by itself."""

VERSION_SETTLE_TIME: Final = 1.2
"""Seconds within which a watcher must have announced a version: the last heartbeat on a
busy link may be 0.9 s old."""

MAX_RETRY_DELAY: Final = 3.0
"""Seconds between two attempts of an instance that need not watch, while the store does
not answer: the watchers retry more often and announce when the store is back."""


@callback
def choose_configuration_watchers(issuers: Iterable[str]) -> set[str]:
    """Return the issuers that watch the configuration, the first ones in list order."""
    return set(islice(issuers, CONFIGURATION_WATCHERS))


class WatchDuty:
    """Decides whether this instance watches one kind of object in the store itself.

    The store answers every open watch at each change. If all instances of a large fleet
    watched, the calls would grow with instances times changes. Therefore only the lease
    holder and some issuers watch, and the versions in their heartbeats announce a
    change to the others. All issuers watch the targets: information from neighbours
    counts as one second old, and a leaving target's drain time is too short for that.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        links: FleetLinks,
        lease: LeaseElection,
        permits: PermitBroker,
        health: StoreHealth,
        known_version: Callable[[], int],
        announced_version: Callable[[Item], int],
        choose_watchers: Callable[[Iterable[str]], set[str]],
    ) -> None:
        self._incarnation = incarnation
        self._links = links
        self._lease = lease
        self._permits = permits
        self._health = health
        self._known_version = known_version
        self._announced_version = announced_version
        self._choose_watchers = choose_watchers
        self._settled_version = 0
        """Version that this instance has known for at least `VERSION_SETTLE_TIME`."""

        self._pending_version = 0
        self._pending_since = 0.0

    @callback
    def is_skipped(self) -> bool:
        """Return whether this instance need not watch, since others announce changes.

        An instance that has lost the store watches until it gets an answer, because
        nothing else would show that the store is reachable again.
        """
        if self._health.is_lost or not self._is_exempt():
            return False
        now = asyncio.get_running_loop().time()
        return sum(self._is_reliable(link, now) for link in self._watcher_links()) >= (
            MIN_WATCHERS
        )

    @callback
    def max_retry_delay(self, min_delay: float) -> float:
        """Return the seconds between two attempts while the store does not answer.

        `min_delay` is the delay of an instance that watches for others.
        """
        return MAX_RETRY_DELAY if self._is_exempt() else min_delay

    @callback
    def update_settled_version(self, now: float) -> None:
        """Update the version that every working watcher must have announced by now.

        Watchers are not compared with the newest version: right after one of them has
        announced it the others seem to be behind, and every instance would start to
        watch the store.
        """
        if now - self._pending_since >= VERSION_SETTLE_TIME:
            self._settled_version = self._pending_version
            self._pending_version = self._known_version()
            self._pending_since = now

    @callback
    def _is_exempt(self) -> bool:
        """Return whether this instance is not one of the designated watchers."""
        if not self._is_large() or self._lease.is_held(suspend_aware_now()):
            return False
        return self._incarnation not in self._watcher_names()

    @callback
    def _is_large(self) -> bool:
        """Return whether the fleet is too large for every instance to watch."""
        return self._permits.issuers.members > SMALL_FLEET_SIZE

    @callback
    def _watcher_names(self) -> set[str]:
        """Return the incarnations of the issuers that watch."""
        return self._choose_watchers(self._permits.issuers.peers_by_incarnation)

    @callback
    def _watcher_links(self) -> list[PeerLink]:
        """Return the links to the lease holder and the watching issuers."""
        names = self._watcher_names()
        return [
            link
            for link in self._links.outgoing_by_peer.values()
            if link.incarnation in names
            or (link.heartbeat is not None and link.heartbeat.leads)
        ]

    @callback
    def _is_reliable(self, link: PeerLink, now: float) -> bool:
        """Return whether a watcher is responsive and up to date with the store."""
        heartbeat = link.heartbeat
        return (
            heartbeat is not None
            and link.is_responsive(now)
            and not heartbeat.store_lost
            and self._announced_version(heartbeat) >= self._settled_version
        )
