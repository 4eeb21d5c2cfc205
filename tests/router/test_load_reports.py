"""Tests of the load reports."""

from __future__ import annotations

from types import SimpleNamespace
from typing import cast

import pytest

from swiftpin.fleet.item import Item
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.lease_record import LeaseRecord
from swiftpin.permits.rate_reports import RateReports
from swiftpin.router.fleet_messages import LoadReport
from swiftpin.router.known_leader import KnownLeader
from swiftpin.router.load_reports import (
    FULL_RATE_MEMBERS,
    MIN_REPORT_INTERVAL,
    LoadReports,
    report_interval,
)
from tests.router.fleet_fakes import FakeLink, make_links


@pytest.mark.parametrize("members", [1, 8, 36, 72, 300, 7000])
def test_report_rate_at_the_assigner_is_bounded(members: int) -> None:
    """Guards against an assigner overloaded by the reports of a large fleet.

    With 72 instances that each reported five times per second it was busy with reports.
    """
    assert members / report_interval(members) <= FULL_RATE_MEMBERS / MIN_REPORT_INTERVAL
    assert report_interval(members) >= MIN_REPORT_INTERVAL


def make_report() -> LoadReport:
    """Return a report of one request."""
    report = LoadReport()
    report.add_key("desk", 5)
    return report


def make_reports(link: FakeLink, *, leads: bool) -> LoadReports:
    """Return the load reports of an instance that knows the leader."""
    links = make_links(link)
    leader = KnownLeader(links)
    leader.adopt_record(LeaseRecord(holder="a/1", peer=link.peer, term=1, renewal=0))
    lease = SimpleNamespace(is_held=lambda now: leads)
    return LoadReports(links, leader, cast(LeaseElection, lease), RateReports())


def test_report_is_sent_to_the_leader_unless_it_is_empty() -> None:
    """An instance without requests sends no report."""
    link = FakeLink("a", is_outgoing=True)
    reports = make_reports(link, leads=False)
    reports.send(LoadReport(), 0.0)
    assert not link.sent
    reports.send(make_report(), 0.0)
    (item,) = link.sent
    assert list(item.load.loads[0].keys) == [5]


def test_report_of_the_leader_is_handled_locally() -> None:
    """The instance that assigns keys also counts its own load."""
    link = FakeLink("a", is_outgoing=True)
    reports = make_reports(link, leads=True)
    handled: list[Item] = []
    reports.on_load = handled.append
    reports.send(make_report(), 0.0)
    assert not link.sent
    assert list(handled[0].loads[0].keys) == [5]
