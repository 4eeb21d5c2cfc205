"""Configurations, lists of targets and key maps that neighbours tell each other."""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.const import GOSSIP_LAG
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.platform.target_entries import decode_target_list, encode_target_list
from swiftpin.platform.unusable_entry import UnusableEntryError
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.holder_view import HolderView
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.watch_duty import WatchDuty, first_issuers

ASK_PAUSE: Final = 0.2
"""Seconds for which an instance that watches the store stays behind before it asks a
neighbour: the store's own answer is most likely on its way."""


class Gossip:
    """Asks neighbours that know something newer for it, and answers such questions.

    Versions in the heartbeats tell who knows more. That is how an instance learns
    changes that the store keeps from it, and how most of a large fleet learns all of
    them.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        links: FleetLinks,
        lease: LeaseElection,
        permits: PermitBroker,
        health: StoreHealth,
        maps: KeyMaps,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
    ) -> None:
        self.holder = HolderView(links)
        self._incarnation = incarnation
        self._links = links
        self._maps = maps
        self._configuration = configuration
        self._directory = directory
        self._behind_since: float | None = None
        self._last_asked = ""
        """Incarnation of the neighbour that was asked last."""

        self._rng = Random(incarnation)
        make_duty = partial(
            WatchDuty,
            incarnation=incarnation,
            links=links,
            lease=lease,
            permits=permits,
            health=health,
        )
        self.targets_duty = make_duty(
            known_version=lambda: directory.version,
            told_version=lambda heartbeat: int(heartbeat.targets),
            watchers=set,
        )
        self.configuration_duty = make_duty(
            known_version=lambda: configuration.version,
            told_version=lambda heartbeat: int(heartbeat.configuration),
            watchers=first_issuers,
        )

    @callback
    def _confirm(self) -> None:
        """Note that the lease's holder knows of the targets what this instance does."""
        if self.holder.confirmed_version() == self._directory.version:
            self._directory.note_confirmed(suspend_aware_now() - GOSSIP_LAG)

    @callback
    def ask(self) -> None:
        """Ask a neighbour that knows something newer for it."""
        started_at = asyncio.get_running_loop().time()
        self.targets_duty.age_version(started_at)
        self.configuration_duty.age_version(started_at)
        self.holder.look(started_at)
        self._confirm()
        ahead = [
            link
            for link in self._links.live_links()
            if link.heartbeat is not None and self._is_ahead(link.heartbeat)
        ]
        if not ahead:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = started_at
            if self.targets_duty.is_skipped():
                # No answer of the store is on its way here.
                self._ask_link(self._choose(ahead, started_at))
        elif started_at - self._behind_since > ASK_PAUSE:
            self._behind_since = started_at
            self._ask_link(self._choose(ahead, started_at))

    @callback
    def _choose(self, ahead: list[PeerLink], now: float) -> PeerLink:
        """Return the neighbour to ask: one that is heard, and not the last one again.

        One that froze or was cut off stays among the links for a second, and whoever
        asks it alone learns of a leaving target that much later. Each instance chooses
        at random, since many fall behind at the same moment.
        """
        heard = [link for link in ahead if link.is_fresh(now)] or ahead
        others = [link for link in heard if link.incarnation != self._last_asked]
        chosen = self._rng.choice(others or heard)
        self._last_asked = chosen.incarnation
        return chosen

    @callback
    def _ask_link(self, link: PeerLink) -> None:
        """Ask a neighbour for what it knows and this instance does not."""
        heartbeat: Item = link.heartbeat
        if (heartbeat.maps_term, heartbeat.maps_number) > self._maps.version:
            link.send(pb.Item(key_map_ask=pb.KeyMapAsk()))
        link.send(
            pb.Item(
                update_ask=pb.UpdateAsk(
                    configuration=self._configuration.version,
                    targets=self._directory.version,
                )
            )
        )

    @callback
    def _is_ahead(self, heartbeat: Item) -> bool:
        """Return whether a neighbour knows something newer."""
        return bool(
            heartbeat.configuration > self._configuration.version
            or heartbeat.targets > self._directory.version
            or (heartbeat.maps_term, heartbeat.maps_number) > self._maps.version
        )

    @callback
    def give(self, link: PeerLink, ask: Item) -> None:
        """Answer a neighbour that is behind, with what is known when its turn comes."""
        link.send_document(partial(self._make_update, ask))

    @callback
    def _make_update(self, ask: Item) -> Item | None:
        """Return what a neighbour that asked lacks."""
        update = pb.Update()
        if self._configuration.version > ask.configuration:
            update.configuration = self._configuration.encoded
        if self._directory.version > ask.targets:
            update.targets_revision = self._directory.version
            present = self._directory.present_targets()
            update.targets = encode_target_list(
                target for target in present if target.revision > ask.targets
            )
            update.target_ids.extend(target.id for target in present)
        return pb.Item(update=update)

    @callback
    def take(self, update: Item) -> None:
        """Take what a neighbour knows."""
        now = suspend_aware_now()
        if update.configuration:
            self._configuration.adopt_encoded(update.configuration, now)
        if not update.targets_revision:
            return
        try:
            targets = decode_target_list(update.targets)
        except UnusableEntryError as err:
            log_message(message_type="update_refused", level="warning", error=str(err))
            return
        self._directory.adopt_update(
            targets, frozenset(update.target_ids), update.targets_revision, now
        )
