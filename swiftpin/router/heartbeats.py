"""Content of the heartbeats between instances."""

from __future__ import annotations

from collections.abc import Callable

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.extension_votes import ExtensionVotes
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.known_leader import KnownLeader


class Heartbeats:
    """Creates the heartbeats of an instance and handles those it receives."""

    def __init__(
        self,
        *,
        incarnation: str,
        leader: KnownLeader,
        lease: LeaseElection,
        votes: ExtensionVotes,
        maps: KeyMaps,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        lifecycle: Lifecycle,
        health: StoreHealth,
        permits: PermitBroker,
        target_links: TargetLinks,
    ) -> None:
        self.is_overloaded: Callable[[], bool] = _never
        """Returns whether this instance's capacity is nearly used up."""

        self._incarnation = incarnation
        self._leader = leader
        self._lease = lease
        self._votes = votes
        self._maps = maps
        self._configuration = configuration
        self._directory = directory
        self._lifecycle = lifecycle
        self._health = health
        self._permits = permits
        self._target_links = target_links

    @callback
    def make(self, link: PeerLink, now: float) -> Item:
        """Return the heartbeat to send on a link."""
        leader = self._leader.record
        evacuations = self._directory.evacuations
        ages_by_zone = evacuations.ages_by_zone(now)
        return pb.Item(
            heartbeat=pb.Heartbeat(
                incarnation=self._incarnation,
                leads=self._lease.is_held(now),
                term=leader.term,
                leader=leader.holder,
                leader_peer=leader.peer,
                configuration=self._configuration.version,
                targets=self._directory.version,
                stopping=self._lifecycle.leaving,
                sent_at=now,
                echo=0.0 if link.heartbeat is None else link.heartbeat.sent_at,
                store_lost=self._health.is_lost,
                maps_term=self._maps.version[0],
                maps_number=self._maps.version[1],
                vote=self._votes.cast_vote(link, now),
                resigned_term=self._lease.own_resigned_term(now),
                evacuations=evacuations.version,
                evacuated_zones=ages_by_zone.keys(),
                evacuated_for=ages_by_zone.values(),
                issuers_number=self._published_list_number(now),
                lost_target_links=self._target_links.lost_count,
                overloaded=self.is_overloaded(),
            )
        )

    @callback
    def handle(self, link: PeerLink, heartbeat: pb.Heartbeat) -> None:
        """Process a heartbeat received over a link."""
        link.heartbeat = heartbeat
        now = suspend_aware_now()
        self._configuration.note_announced_version(heartbeat.configuration, now)
        zones = heartbeat.evacuated_zones
        ages_by_zone = dict(zip(zones, heartbeat.evacuated_for, strict=False))
        self._directory.evacuations.adopt_update(
            ages_by_zone, heartbeat.evacuations, now
        )
        if heartbeat.leads and heartbeat.issuers_number:
            self._permits.authority.record_confirmation(
                heartbeat.term, heartbeat.issuers_number, heartbeat.echo
            )
        if heartbeat.vote:
            self._votes.handle_vote(link, heartbeat.echo)
        lease = self._lease
        lease.resigned_term = max(lease.resigned_term, heartbeat.resigned_term)
        self._leader.adopt_heartbeat(heartbeat)

    @callback
    def _published_list_number(self, now: float) -> int:
        """Return the number of the issuer list published as lease holder, or 0."""
        issuers = self._permits.issuers
        is_own_list = self._lease.is_held(now) and issuers.term == self._lease.term
        return issuers.number if is_own_list else 0


@callback
def _never() -> bool:
    """Return that nothing is limited."""
    return False
