"""Reports of an instance's load to the one that assigns keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.links import FleetLinks
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.router.fleet_messages import LoadReport, encode_load
from swiftpin.router.known_leader import KnownLeader

MIN_REPORT_INTERVAL: Final = 0.2
"""Seconds between two reports of an instance of a small fleet: hot keys change within
seconds."""

FULL_RATE_MEMBERS: Final = 36
"""Instances above which each reports its load less often, in proportion: the one that
assigns keys takes all reports."""


class LoadReports:
    """Takes an instance's reports to the holder of the lease."""

    def __init__(
        self, links: FleetLinks, leader: KnownLeader, lease: LeaseElection
    ) -> None:
        self.on_load: Callable[[Item], None] = _noop
        """Takes the reports while this instance holds the lease."""

        self._links = links
        self._leader = leader
        self._lease = lease

    @callback
    def send(self, report: LoadReport, now: float) -> None:
        """Tell the instance that assigns keys what was asked for here."""
        if not report.counts_by_service and not report.seconds_by_target:
            return
        item = encode_load(report)
        if self._lease.is_held(now):
            self.on_load(item.load)
            return
        link = self._links.outgoing_by_peer.get(self._leader.record.peer)
        if link is not None:
            link.send(item)


@callback
def report_interval(members: int) -> float:
    """Return the seconds between two reports of an instance."""
    return MIN_REPORT_INTERVAL * max(1.0, members / FULL_RATE_MEMBERS)


@callback
def _noop(load: Item) -> None:
    """Do nothing."""
