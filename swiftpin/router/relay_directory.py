"""Exchange of the relays' addresses between instances."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.relays.relay import Relay
from swiftpin.relays.relay_choice import RelayChoice
from swiftpin.relays.relay_list import RelayCandidate, select_relays
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.known_leader import KnownLeader

ASK_INTERVAL: Final = 0.5
"""Seconds between two requests for relays while they are needed."""

LIST_LIFETIME: Final = 3.0
"""Seconds for which the relays named by the lease holder are used."""


class RelayDirectory:
    """Asks the lease holder, which is linked to all instances, for relays.

    Until it has answered, the instances that this one has links with are used.
    """

    def __init__(
        self,
        *,
        own_relay: Relay,
        links: FleetLinks,
        leader: KnownLeader,
        lease: LeaseElection,
        directory: TargetDirectory,
        target_links: TargetLinks,
        choice: RelayChoice,
    ) -> None:
        self._own_relay = own_relay
        self._links = links
        self._leader = leader
        self._lease = lease
        self._directory = directory
        self._target_links = target_links
        self._choice = choice
        self._asked_at = -ASK_INTERVAL
        self._named: list[Relay] = []
        self._named_at = -LIST_LIFETIME

    @callback
    def request_relays(self, now: float) -> None:
        """Update the relays, unless that was done a moment ago.

        `now` is a time of the event loop's clock.
        """
        if now - self._asked_at < ASK_INTERVAL:
            return
        self._asked_at = now
        link = self._links.outgoing_by_peer.get(self._leader.record.peer)
        if link is not None and link.is_responsive(now):
            link.send(pb.Item(relay_ask=pb.RelayAsk()))
        if now - self._named_at >= LIST_LIFETIME:
            own = self._own_relay
            self._choice.set_relays(self._select(own.address, own.zone))

    @callback
    def handle_ask(self, link: PeerLink) -> None:
        """Send another instance its relays."""
        relays = self._select(link.relay, link.zone)
        message = pb.RelayList(
            relays=[pb.Relay(address=it.address, zone=it.zone) for it in relays]
        )
        link.send(pb.Item(relay_list=message))

    @callback
    def handle_list(self, message: pb.RelayList) -> None:
        """Use the relays that the lease holder names."""
        self._named = [Relay(address=it.address, zone=it.zone) for it in message.relays]
        self._named_at = asyncio.get_running_loop().time()
        self._choice.set_relays(self._named)

    @callback
    def least_lost_links_of_others(self) -> int | None:
        """Return the fewest lost links of any instance that could hold the lease.

        Return None if there is no other instance.
        """
        counts = [
            link.heartbeat.lost_target_links
            for link in self._links.live_links()
            if link.heartbeat is not None
            and not link.heartbeat.stopping
            and not link.heartbeat.store_lost
        ]
        return min(counts, default=None)

    @callback
    def _select(self, asker: str, zone: str) -> list[Relay]:
        """Return relays for an instance."""
        return select_relays(
            self._candidates(),
            asker=asker,
            zone=zone,
            target_count=len(self._directory.targets_by_id),
        )

    def _candidates(self) -> Iterable[RelayCandidate]:
        """Return this instance and those that it has links with, each once."""
        by_address = {
            link.relay: RelayCandidate(
                relay=Relay(address=link.relay, zone=link.zone),
                lost_links=link.heartbeat.lost_target_links,
                is_stopping=link.heartbeat.stopping,
            )
            for link in self._links.live_links()
            if link.heartbeat is not None
        }
        by_address[self._own_relay.address] = RelayCandidate(
            relay=self._own_relay,
            lost_links=self._target_links.lost_count,
            is_stopping=False,
        )
        return by_address.values()
