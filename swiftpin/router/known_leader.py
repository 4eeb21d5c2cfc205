"""Who holds the lease, as far as this instance knows."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.keyranges.lease_record import LeaseRecord

LEADER_HEARTBEAT_TIMEOUT: Final = 0.65
"""Seconds without a heartbeat after which candidates begin to look at the lease;
with one heartbeat late nothing is lost but some reads."""


class KnownLeader:
    """Newest record of the lease, from the store or from other instances."""

    def __init__(self, links: FleetLinks) -> None:
        self.record = LeaseRecord(holder="", peer="", term=0, renewal=0)
        self._links = links

    @callback
    def adopt_record(self, record: LeaseRecord) -> None:
        """Take a record that was read or written in the store."""
        if (record.term, record.renewal) >= (self.record.term, self.record.renewal):
            self.record = record

    @callback
    def adopt_heartbeat(self, heartbeat: pb.Heartbeat) -> None:
        """Take what another instance knows, if its term is newer."""
        if heartbeat.term <= self.record.term:
            return
        self.record = LeaseRecord(
            holder=heartbeat.leader,
            peer=heartbeat.leader_peer,
            term=heartbeat.term,
            renewal=0,
        )

    @callback
    def is_holder_alive(self, term: int, now: float) -> bool:
        """Return whether another instance says that it holds the lease, since a term.

        `now` is on the event loop's clock, as the times of links are.
        """
        return any(
            link.heartbeat is not None
            and link.heartbeat.leads
            and link.heartbeat.term >= term
            and now - link.last_received_at < LEADER_HEARTBEAT_TIMEOUT
            for link in self._links.live_links()
        )
