"""Selection of the permit issuers and publication of the list."""

from __future__ import annotations

from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.permits.issuer_choice import choose_issuers, rank_by_cpu_capacity
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.permits.permit_issuers import PermitIssuers
from swiftpin.router.fleet_messages import encode_issuers
from swiftpin.router.fleet_size import MAX_HOLDER_SILENCE, member_count_to_announce
from swiftpin.router.watch_duty import choose_configuration_watchers

MAX_CANDIDATES: Final = 16
"""Maximum number of members named in the lease record, which is written several
times per second."""


class IssuerList:
    """Maintains an instance's list of issuers; the lease holder selects them."""

    def __init__(
        self,
        *,
        incarnation: str,
        own_peer: str,
        cpu_capacity: float,
        links: FleetLinks,
        lease: LeaseElection,
        permits: PermitBroker,
        directory: TargetDirectory,
        lifecycle: Lifecycle,
    ) -> None:
        self._incarnation = incarnation
        self._own_peer = own_peer
        self._cpu_capacity = cpu_capacity
        self._links = links
        self._lease = lease
        self._permits = permits
        self._directory = directory
        self._lifecycle = lifecycle
        self._number = 0
        self._seen_at_by_incarnation: dict[str, float] = {}

    @callback
    def update(self, now: float) -> None:
        """Select the issuers and publish the list if it has changed."""
        members = self._eligible_members()
        cpu_capacities = {
            name: cpu_capacity for name, (cpu_capacity, _) in members.items()
        }
        self._lease.members = tuple(
            name.partition("/")[0]
            for name in rank_by_cpu_capacity(cpu_capacities)[:MAX_CANDIDATES]
        )
        current = self._permits.issuers
        chosen = choose_issuers(
            cpu_capacities,
            current=current.peers_by_incarnation,
            assigner=self._incarnation,
            target_count=len(self._directory.targets_by_id),
        )
        chosen = self._order_for_watching(chosen)
        issuers = {name: members[name][1] for name in chosen}
        count = member_count_to_announce(self._count_members(now), current.members)
        is_same = (
            issuers == current.peers_by_incarnation
            and choose_configuration_watchers(issuers)
            == choose_configuration_watchers(current.peers_by_incarnation)
            and count == current.members
        )
        if is_same and current.term == self._lease.term:
            return
        self._number += 1
        self._permits.issuers = PermitIssuers(
            term=self._lease.term,
            number=self._number,
            peers_by_incarnation=issuers,
            members=count,
        )
        for link in self._links.incoming:
            self.send(link)

    @callback
    def _order_for_watching(self, chosen: list[str]) -> list[str]:
        """Return the issuers with those that can reach the store first.

        The first issuers watch the configuration for the whole fleet. If they could
        not reach the store, every instance would have to watch by itself.
        """
        lost = {
            link.incarnation
            for link in self._links.live_links()
            if link.heartbeat is not None and link.heartbeat.store_lost
        }
        return sorted(chosen, key=lost.__contains__)

    @callback
    def send(self, link: PeerLink) -> None:
        """Send the list over a link."""
        link.send(encode_issuers(self._permits.issuers))

    @callback
    def adopt(self, issuers: PermitIssuers) -> None:
        """Adopt a list if it is newer than the current one."""
        current = self._permits.issuers
        if (issuers.term, issuers.number) <= (current.term, current.number):
            return
        self._permits.issuers = issuers
        log_message(
            message_type="issuers_adopted",
            term=issuers.term,
            number=issuers.number,
            issuers=len(issuers.peers_by_incarnation),
            members=issuers.members,
        )

    @callback
    def _count_members(self, now: float) -> int:
        """Return how many instances may use a share of the fleet's limits.

        Stopping instances are included, since they still send requests, and so are
        disconnected ones for `MAX_HOLDER_SILENCE` seconds.
        """
        for link in self._links.live_links():
            if not link.is_outgoing:
                self._seen_at_by_incarnation[link.incarnation] = now
        self._seen_at_by_incarnation = {
            incarnation: seen_at
            for incarnation, seen_at in self._seen_at_by_incarnation.items()
            if now - seen_at <= MAX_HOLDER_SILENCE
        }
        return len(self._seen_at_by_incarnation) + 1

    @callback
    def _eligible_members(self) -> dict[str, tuple[float, str]]:
        """Return CPU capacity and address of each instance that is not stopping."""
        members = {self._incarnation: (self._cpu_capacity, self._own_peer)}
        for link in self._links.live_links():
            if link.is_outgoing or link.heartbeat is None or link.heartbeat.stopping:
                continue
            members[link.incarnation] = (link.cpu_capacity, link.peer)
        if self._lifecycle.leaving:
            del members[self._incarnation]
        return members
