"""Tests of the reports of load."""

from __future__ import annotations

from types import SimpleNamespace
from typing import cast

import pytest

from swiftpin.fleet.item import Item
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.lease_record import LeaseRecord
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
def test_reports_to_the_assigner_have_a_bound(members: int) -> None:
    """Symptom: the assigner of a large fleet was busy with reports.

    Sequence: 72 instances reported their load five times a second each. Cause: the pace
    of one instance did not depend on how many there are.
    """
    assert members / report_interval(members) <= FULL_RATE_MEMBERS / MIN_REPORT_INTERVAL
    assert report_interval(members) >= MIN_REPORT_INTERVAL


def make_report() -> LoadReport:
    """Return a report of one request."""
    report = LoadReport()
    report.add_key("desk", 5)
    return report


def make_reports(link: FakeLink, *, leads: bool) -> LoadReports:
    """Return the reports of an instance that knows a leader."""
    links = make_links(link)
    leader = KnownLeader(links)
    leader.adopt_record(LeaseRecord(holder="a/1", peer=link.peer, term=1, renewal=0))
    lease = SimpleNamespace(is_held=lambda now: leads)
    return LoadReports(links, leader, cast(LeaseElection, lease))


def test_report_goes_to_the_leader_unless_it_is_empty() -> None:
    """Nothing is sent where nothing was asked for."""
    link = FakeLink("a", is_outgoing=True)
    reports = make_reports(link, leads=False)
    reports.send(LoadReport(), 0.0)
    assert not link.sent
    reports.send(make_report(), 0.0)
    (item,) = link.sent
    assert list(item.load.loads[0].keys) == [5]


def test_report_of_the_leader_stays_there() -> None:
    """The instance that assigns keys counts its own load too."""
    link = FakeLink("a", is_outgoing=True)
    reports = make_reports(link, leads=True)
    taken: list[Item] = []
    reports.on_load = taken.append
    reports.send(make_report(), 0.0)
    assert not link.sent
    assert list(taken[0].loads[0].keys) == [5]
