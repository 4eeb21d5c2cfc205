"""Communication of this instance with the rest of the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.poison.open_sends import OpenSends
from swiftpin.poison.suspect_table import SuspectTable
from swiftpin.relays.relay import Relay
from swiftpin.relays.relay_choice import RelayChoice
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.drain_reports import DrainReports
from swiftpin.router.extension_votes import ExtensionVotes
from swiftpin.router.fleet_messages import (
    LoadReport,
    decode_issuers,
    decode_key_map,
)
from swiftpin.router.fleet_size import FleetSize
from swiftpin.router.gossip import Gossip
from swiftpin.router.heartbeats import Heartbeats
from swiftpin.router.issuer_list import IssuerList
from swiftpin.router.key_map_sharing import KeyMapSharing
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.known_leader import KnownLeader
from swiftpin.router.known_lives import KnownLives
from swiftpin.router.load_reports import LoadReports, report_interval
from swiftpin.router.poison_reports import PoisonReports
from swiftpin.router.relay_directory import RelayDirectory

UPDATE_INTERVAL: Final = 0.2
"""Seconds between two updates of links, issuers and reports."""


class FleetCoordinator:
    """Maintains the required links and dispatches the messages they deliver.

    Every member connects to the instance that assigns keys, which publishes key maps
    and the list of issuers, and to the issuers, which grant permits.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        own_peer: str,
        cpu_capacity: float,
        bandwidth: float,
        seeds: tuple[str, ...],
        lease: LeaseElection,
        permits: PermitBroker,
        maps: KeyMaps,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        lifecycle: Lifecycle,
        health: StoreHealth,
        suspects: SuspectTable,
        open_sends: OpenSends,
        lives: KnownLives,
        fleet_size: FleetSize,
        own_relay: Relay,
        target_links: TargetLinks,
        relays: RelayChoice,
    ) -> None:
        links = self.links = FleetLinks(
            incarnation=incarnation,
            own_peer=own_peer,
            cpu_capacity=cpu_capacity,
            handler=self,
            bandwidth=bandwidth,
            relay=own_relay.address,
            zone=own_relay.zone,
        )
        links.on_lost = self._handle_lost_link
        self._seeds = seeds
        self._lease = lease
        self._permits = permits
        self._open_sends = open_sends
        self._health = health
        self._maps = maps
        self.known_leader = KnownLeader(links)
        self.key_maps = KeyMapSharing(links, maps, self._request_key_maps)
        self.load_reports = LoadReports(
            links, self.known_leader, lease, permits.rate_reports
        )
        self.drain_reports = DrainReports(links, directory.announced_drains)
        self._incarnation = incarnation
        self._lives = lives
        self.poison_reports = PoisonReports(
            links=links,
            suspects=suspects,
        )
        self._fleet_size = fleet_size
        self._is_list_confirmed = False
        self.relay_directory = RelayDirectory(
            own_relay=own_relay,
            links=links,
            leader=self.known_leader,
            lease=lease,
            directory=directory,
            target_links=target_links,
            choice=relays,
        )
        self.heartbeats = Heartbeats(
            incarnation=incarnation,
            leader=self.known_leader,
            lease=lease,
            votes=ExtensionVotes(links=links, lease=lease, health=health),
            maps=maps,
            configuration=configuration,
            directory=directory,
            lifecycle=lifecycle,
            health=health,
            permits=permits,
            target_links=target_links,
        )
        self._issuer_list = IssuerList(
            incarnation=incarnation,
            own_peer=own_peer,
            cpu_capacity=cpu_capacity,
            links=links,
            lease=lease,
            permits=permits,
            directory=directory,
            lifecycle=lifecycle,
        )
        self.gossip = Gossip(
            incarnation=incarnation,
            links=links,
            lease=lease,
            permits=permits,
            health=health,
            maps=maps,
            configuration=configuration,
            directory=directory,
        )

    async def async_run(self, collect_load_report: Callable[[], LoadReport]) -> None:
        """Keep links, issuers and reports up to date until cancelled."""
        next_report_at = 0.0
        while True:
            now = suspend_aware_now()
            self._update_links()
            if self._lease.is_held(now):
                self._issuer_list.update(now)
                self._confirm_own_list(now)
            self._log_list_confirmation(now)
            self._update_fleet_size(now)
            self.poison_reports.update(self._lives, now)
            self.gossip.request_updates()
            if now >= next_report_at:
                next_report_at = (
                    now
                    + report_interval(self._permits.issuers.members)
                    - UPDATE_INTERVAL / 2
                )
                self.load_reports.send(collect_load_report(), now)
            await asyncio.sleep(UPDATE_INTERVAL)

    @callback
    def handle_item(self, link: PeerLink, item: Item) -> None:
        """Dispatch one message to the component that handles it."""
        match item.WhichOneof("body"):
            case "ask":
                self._permits.handle_ask(link, item.ask)
            case "answer":
                self._permits.handle_answer(link, item.answer)
            case "end":
                self._permits.handle_end(link, item.end)
            case "request_answered":
                self._permits.handle_request_answered(item.request_answered)
            case "rate_reports":
                self._permits.handle_rate_reports(item.rate_reports)
            case "heartbeat":
                self.heartbeats.handle(link, item.heartbeat)
                self.gossip.handle_heartbeat()
            case "load":
                for times in item.load.times:
                    self._permits.rate_reports.handle_message(
                        times, suspend_aware_now(), source="peer"
                    )
                self.load_reports.on_load(item.load)
            case "key_map":
                self._maps.adopt(decode_key_map(item.key_map))
                self.gossip.handle_key_map()
            case "key_map_change":
                self.key_maps.handle_change(link, item.key_map_change)
            case "key_map_ask":
                self.key_maps.send_all(link)
            case "suspect":
                self.poison_reports.handle_suspect(
                    link, item.suspect, suspend_aware_now()
                )
            case "answered_suspects":
                self.poison_reports.handle_answered(
                    item.answered_suspects, suspend_aware_now()
                )
            case "life_sign":
                self.poison_reports.handle_life_sign(
                    item.life_sign, suspend_aware_now()
                )
            case "quarantine":
                self.poison_reports.handle_quarantine(
                    item.quarantine, suspend_aware_now()
                )
            case "relay_ask":
                self.relay_directory.handle_ask(link)
            case "relay_list":
                self.relay_directory.handle_list(item.relay_list)
            case "drain_reports":
                self.drain_reports.handle(item.drain_reports)
            case "issuers":
                self._issuer_list.adopt(decode_issuers(item.issuers))
                self._permits.authority.record_list(
                    self._permits.issuers, suspend_aware_now()
                )
                self._open_sends.review_issuers()
            case "hello":
                self._handle_hello(link, item.hello)
            case "configuration_ask":
                self.gossip.send_configuration(link, item.configuration_ask)
            case "configuration":
                self.gossip.handle_configuration(item.configuration)
            case "update_ask":
                self.gossip.send_targets(link, item.update_ask)
            case "update":
                self.gossip.handle_targets(item.update)

    @callback
    def make_heartbeat(self, link: PeerLink) -> Item:
        """Return the heartbeat to send on a link."""
        return self.heartbeats.make(link, suspend_aware_now())

    @callback
    def holder_reaches_store(self) -> bool:
        """Return False if the lease holder is known not to reach the store."""
        if self._lease.is_held(suspend_aware_now()):
            return not self._health.is_lost
        link = self.links.outgoing_by_peer.get(self.known_leader.record.peer)
        return link is None or link.heartbeat is None or not link.heartbeat.store_lost

    @callback
    def _handle_hello(self, link: PeerLink, hello: Item) -> None:
        """Record the identity of the peer and send it the current state."""
        link.incarnation = hello.incarnation
        link.peer = hello.peer
        link.cpu_capacity = hello.strength
        link.relay = hello.relay
        link.zone = hello.zone
        self._permits.add_link(link)
        self.drain_reports.send_all(link)
        self.poison_reports.send_all(link, suspend_aware_now())
        log_message(
            message_type="peer_linked",
            peer=link.incarnation,
            outgoing=link.is_outgoing,
        )
        if link.is_outgoing:
            return
        if self._permits.issuers.number:
            self._issuer_list.send(link)

    @callback
    def _handle_lost_link(self, link: PeerLink) -> None:
        """Drop a lost link; report the sends under permits that came over it."""
        self._permits.remove_link(link)
        self._open_sends.review_issuers()

    @callback
    def _confirm_own_list(self, now: float) -> None:
        """Record the list of issuers that this instance published as lease holder."""
        issuers = self._permits.issuers
        authority = self._permits.authority
        authority.record_list(issuers, now)
        authority.record_confirmation(issuers.term, issuers.number, now)

    @callback
    def _log_list_confirmation(self, now: float) -> None:
        """Log when the list of issuers becomes confirmed or unconfirmed."""
        is_confirmed = self._permits.authority.is_confirmed(now)
        if is_confirmed == self._is_list_confirmed:
            return
        self._is_list_confirmed = is_confirmed
        issuers = self._permits.issuers
        version = {"term": issuers.term, "number": issuers.number}
        if is_confirmed:
            log_message(message_type="issuers_confirmed", **version)
        else:
            log_message(message_type="issuers_unconfirmed", **version)

    @callback
    def _update_fleet_size(self, now: float) -> None:
        """Record the announced fleet size while the lease holder is connected."""
        issuers = self._permits.issuers
        if self._lease.is_held(now):
            term = self._lease.term
        else:
            link = self.links.outgoing_by_peer.get(self.known_leader.record.peer)
            if link is None or link.heartbeat is None or not link.heartbeat.leads:
                return
            if not link.is_alive(asyncio.get_running_loop().time()):
                return
            term = link.heartbeat.term
        if issuers.number and issuers.term == term:
            self._fleet_size.record_member_count(issuers.members, now)

    @callback
    def _request_key_maps(self, link: PeerLink) -> None:
        """Request all key maps after a missed change."""
        self.gossip.request_key_maps(link)

    @callback
    def _update_links(self) -> None:
        """Connect to the leader and the issuers, or to the seeds if none is known."""
        wanted = {
            self.known_leader.record.peer,
            *self._permits.issuers.peers_by_incarnation.values(),
        }
        wanted.discard("")
        self.links.set_peers(wanted or set(self._seeds))
