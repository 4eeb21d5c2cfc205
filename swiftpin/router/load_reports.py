"""Load reports to the instance that assigns keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.links import FleetLinks
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.permits.rate_reports import RateReports
from swiftpin.router.fleet_messages import LoadReport, encode_load
from swiftpin.router.known_leader import KnownLeader

MIN_REPORT_INTERVAL: Final = 0.2
"""Seconds between two load reports of an instance in a small fleet: hot keys change
within seconds."""

FULL_RATE_MEMBERS: Final = 36
"""Maximum fleet size with the full report rate. In larger fleets each instance reports
proportionally less often, since one instance handles all reports."""


class LoadReports:
    """Sends the load reports of an instance to the lease holder."""

    def __init__(
        self,
        links: FleetLinks,
        leader: KnownLeader,
        lease: LeaseElection,
        rate_reports: RateReports,
    ) -> None:
        self.on_load: Callable[[Item], None] = _noop
        """Handles the reports received while this instance holds the lease."""

        self._links = links
        self._leader = leader
        self._lease = lease
        self._rate_reports = rate_reports

    @callback
    def send(self, report: LoadReport, now: float) -> None:
        """Send a report to the lease holder, or handle it if this is the holder."""
        if not report.counts_by_service and not report.seconds_by_target:
            return
        item = encode_load(report, self._rate_reports, now)
        if self._lease.is_held(now):
            self.on_load(item.load)
            return
        link = self._links.outgoing_by_peer.get(self._leader.record.peer)
        if link is not None:
            link.send(item)


@callback
def report_interval(members: int) -> float:
    """Return the seconds between two load reports of one instance."""
    return MIN_REPORT_INTERVAL * max(1.0, members / FULL_RATE_MEMBERS)


@callback
def _noop(load: Item) -> None:
    """Do nothing."""
