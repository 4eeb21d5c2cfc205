"""Exchange of configurations, target lists and key maps between neighbours."""

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
from swiftpin.discovery.target_list import decode_target_list, encode_target_list
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.model.unusable_entry import UnusableEntryError
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.document_ask import DocumentRequester
from swiftpin.router.holder_view import HolderView
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.watch_duty import WatchDuty, choose_configuration_watchers

REQUEST_DELAY: Final = 0.2
"""Seconds for which an instance that receives changes directly waits before it asks a
neighbour: the update from the store or the lease holder is probably on its way."""


class Gossip:
    """Requests newer documents from neighbours and answers such requests.

    The versions in heartbeats show which neighbour is ahead. An instance that has lost
    the store receives its updates this way, and so do most instances of a large fleet
    at all times.
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
        self.holder_view = HolderView(links)
        self._incarnation = incarnation
        self._health = health
        self._maps = maps
        self._configuration = configuration
        self._directory = directory
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
            announced_version=lambda heartbeat: int(heartbeat.targets),
            choose_watchers=set,
        )
        self.configuration_duty = make_duty(
            known_version=lambda: configuration.version,
            announced_version=lambda heartbeat: int(heartbeat.configuration),
            choose_watchers=choose_configuration_watchers,
        )
        self.evacuations_duty = make_duty(
            known_version=lambda: directory.evacuations.changed_version,
            announced_version=lambda heartbeat: int(heartbeat.evacuations),
            choose_watchers=choose_configuration_watchers,
        )
        make_requester = partial(
            DocumentRequester, links=links, rng=Random(incarnation)
        )
        self._configuration_requester = make_requester(
            is_ahead=lambda heartbeat: heartbeat.configuration > configuration.version,
            send_request=self._request_configuration,
            delay=partial(_request_delay, self.configuration_duty),
        )
        self._targets_requester = make_requester(
            is_ahead=lambda heartbeat: heartbeat.targets > directory.version,
            send_request=self._request_targets,
            delay=partial(_request_delay, self.targets_duty),
        )
        self._key_maps_requester = make_requester(
            is_ahead=lambda heartbeat: _maps_version(heartbeat) > maps.version,
            send_request=_request_key_maps,
            delay=lambda: REQUEST_DELAY if maps.maps_by_service else 0.0,
        )
        self._requesters = (
            self._configuration_requester,
            self._targets_requester,
            self._key_maps_requester,
        )

    @callback
    def _confirm_targets(self) -> None:
        """Mark the target list as confirmed if the lease holder has this version."""
        if self.holder_view.confirmed_version() == self._directory.version:
            self._directory.record_confirmation(suspend_aware_now() - GOSSIP_LAG)

    @callback
    def request_updates(self) -> None:
        """Request newer documents from the neighbours that have them."""
        now = asyncio.get_running_loop().time()
        self.targets_duty.update_settled_version(now)
        self.configuration_duty.update_settled_version(now)
        self.evacuations_duty.update_settled_version(now)
        self.holder_view.update(now)
        self._confirm_targets()
        for requester in self._requesters:
            requester.update(now)
        self._configuration.lag.has_source = (
            self._configuration_requester.is_behind or not self._health.is_lost
        )

    @callback
    def handle_heartbeat(self) -> None:
        """Request key maps immediately if none is known, as after a start."""
        if not self._maps.maps_by_service:
            self._key_maps_requester.update(asyncio.get_running_loop().time())

    @callback
    def request_key_maps(self, link: PeerLink) -> None:
        """Request all key maps from a neighbour, unless an answer is pending."""
        self._key_maps_requester.request(link, asyncio.get_running_loop().time())

    @callback
    def _request_configuration(self, link: PeerLink) -> None:
        """Request the configuration of a neighbour."""
        request = pb.ConfigurationAsk(version=self._configuration.version)
        link.send(pb.Item(configuration_ask=request))

    @callback
    def _request_targets(self, link: PeerLink) -> None:
        """Request the targets that changed since this instance's list."""
        link.send(pb.Item(update_ask=pb.UpdateAsk(targets=self._directory.version)))

    @callback
    def send_configuration(self, link: PeerLink, request: Item) -> None:
        """Send the configuration to a neighbour that has an older one."""
        link.send_document(partial(self._make_configuration, link, request))

    @callback
    def _make_configuration(self, link: PeerLink, request: Item) -> Item | None:
        """Return the configuration, None if the neighbour already has it."""
        announced = 0 if link.heartbeat is None else link.heartbeat.configuration
        if max(request.version, announced) >= self._configuration.version:
            return None
        document = pb.ConfigurationDocument(packed=self._configuration.packed)
        return pb.Item(configuration=document)

    @callback
    def send_targets(self, link: PeerLink, request: Item) -> None:
        """Send changed targets to a neighbour that has an older list."""
        link.send_document(partial(self._make_update, link, request))

    @callback
    def _make_update(self, link: PeerLink, request: Item) -> Item | None:
        """Return the changes since a neighbour's list, None if it already has them."""
        announced = 0 if link.heartbeat is None else link.heartbeat.targets
        if max(request.targets, announced) >= self._directory.version:
            return None
        now = suspend_aware_now()
        update = pb.Update(
            targets_revision=self._directory.version,
            targets=encode_target_list(
                self._directory.targets_changed_since(request.targets, now)
            ),
            target_ids=[target.id for target in self._directory.listed_targets()],
        )
        return pb.Item(update=update)

    @callback
    def handle_key_map(self) -> None:
        """Handle the arrival of a complete key map."""
        self._key_maps_requester.note_answer()

    @callback
    def handle_configuration(self, message: Item) -> None:
        """Adopt a configuration sent by a neighbour."""
        self._configuration.adopt_packed(
            message.packed,
            suspend_aware_now(),
            self._configuration_requester.note_answer,
        )

    @callback
    def handle_targets(self, update: Item) -> None:
        """Adopt target changes sent by a neighbour."""
        self._targets_requester.note_answer()
        try:
            targets = decode_target_list(update.targets)
        except UnusableEntryError as err:
            log_message(message_type="update_refused", level="warning", error=str(err))
            return
        self._directory.adopt_update(
            targets,
            frozenset(update.target_ids),
            update.targets_revision,
            suspend_aware_now(),
        )


@callback
def _request_delay(duty: WatchDuty) -> float:
    """Return the seconds to wait for the store before asking a neighbour."""
    return 0.0 if duty.is_skipped() else REQUEST_DELAY


@callback
def _maps_version(heartbeat: Item) -> tuple[int, int]:
    """Return the version of a neighbour's key maps as term and sum of numbers."""
    return heartbeat.maps_term, heartbeat.maps_number


@callback
def _request_key_maps(link: PeerLink) -> None:
    """Request all key maps from a neighbour."""
    link.send(pb.Item(key_map_ask=pb.KeyMapAsk()))
