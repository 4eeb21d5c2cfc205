"""The lease holder as known to this instance."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.keyranges.lease_record import LeaseRecord

LEADER_HEARTBEAT_TIMEOUT: Final = 0.65
"""Seconds without a heartbeat after which candidates begin to read the lease; a single
late heartbeat costs only a few reads."""


class KnownLeader:
    """Holds the newest lease record, from the store or from other instances."""

    def __init__(self, links: FleetLinks) -> None:
        self.record = LeaseRecord(holder="", peer="", term=0, renewal=0)
        self._links = links

    @callback
    def adopt_record(self, record: LeaseRecord) -> None:
        """Adopt a record that was read from or written to the store, unless older."""
        if (record.term, record.renewal) >= (self.record.term, self.record.renewal):
            self.record = record

    @callback
    def adopt_heartbeat(self, heartbeat: pb.Heartbeat) -> None:
        """Adopt the holder announced in a heartbeat if its term is newer."""
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
        """Return whether recent heartbeats claim the lease in this or a later term.

        `now` is a time of the event loop's clock, like the timestamps of links.
        """
        return any(
            link.heartbeat is not None
            and link.heartbeat.leads
            and link.heartbeat.term >= term
            and now - link.last_received_at < LEADER_HEARTBEAT_TIMEOUT
            for link in self._links.live_links()
        )
