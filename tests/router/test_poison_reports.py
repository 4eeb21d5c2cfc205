"""Tests of reports and quarantines of poison requests."""

from __future__ import annotations

from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.keyranges.lease_record import LeaseRecord
from swiftpin.router.known_leader import KnownLeader
from swiftpin.router.poison_detector import (
    MIN_CRASHED_TARGETS,
    QUARANTINE_TIME,
    SUSPECT_LIFETIME,
    PoisonDetector,
)
from swiftpin.router.poison_reports import PoisonReports
from tests.router.fleet_fakes import FakeLink, make_links

FINGERPRINT = 77
NOW = 100.0


def test_suspect_goes_to_the_leader() -> None:
    """The leader counts for all, since resends may arrive at any instance."""
    link = FakeLink("leader", is_outgoing=True)
    links = make_links(link)
    leader = KnownLeader(links)
    leader.adopt_record(
        LeaseRecord(holder="leader/1", peer=link.peer, term=1, renewal=0)
    )
    poison = PoisonDetector()
    PoisonReports(links, leader, poison)
    poison.on_suspect(FINGERPRINT, "t1", NOW)
    (item,) = link.sent
    assert (item.suspect.fingerprint, item.suspect.target) == (FINGERPRINT, "t1")


def test_quarantine_is_sent_to_all_and_applied() -> None:
    """The instance that counts sends the quarantine, and the others apply it."""
    member = FakeLink("member")
    links = make_links(member)
    leader_reports = PoisonReports(links, KnownLeader(links), PoisonDetector())
    for number in range(MIN_CRASHED_TARGETS):
        suspect = pb.Suspect(fingerprint=FINGERPRINT, target=f"t{number}")
        leader_reports.handle_suspect(suspect, NOW)
    (item,) = member.sent
    poison = PoisonDetector()
    receiver = PoisonReports(make_links(), KnownLeader(make_links()), poison)
    receiver.handle_quarantine(item.quarantine, NOW)
    assert poison.is_quarantined(FINGERPRINT, NOW)


def test_suspects_are_still_counted_after_a_takeover() -> None:
    """Failure: a new leader had no counts, and as many targets crashed again."""
    old, new = (FakeLink(name, is_outgoing=True) for name in ("old", "new"))
    links = make_links(old, new)
    leader = KnownLeader(links)
    poison = PoisonDetector()
    reports = PoisonReports(links, leader, poison)
    leader.adopt_record(LeaseRecord(holder="old/1", peer=old.peer, term=1, renewal=0))
    for number in range(MIN_CRASHED_TARGETS - 1):
        poison.on_suspect(FINGERPRINT, f"t{number}", NOW)
    reports.report_suspects(NOW)
    leader.adopt_record(LeaseRecord(holder="new/1", peer=new.peer, term=2, renewal=0))
    reports.report_suspects(NOW + 1)
    reports.report_suspects(NOW + 2)
    assert [item.suspect.target for item in old.sent] == ["t0", "t1"]
    assert [item.suspect.target for item in new.sent] == ["t0", "t1"]


def test_suspects_wait_for_a_leader() -> None:
    """Failure: suspects seen without a link to the leader were never reported."""
    link = FakeLink("leader", is_outgoing=True)
    links = make_links()
    leader = KnownLeader(links)
    poison = PoisonDetector()
    reports = PoisonReports(links, leader, poison)
    poison.on_suspect(FINGERPRINT, "t1", NOW)
    reports.report_suspects(NOW)
    links.outgoing_by_peer[link.peer] = link
    leader.adopt_record(
        LeaseRecord(holder="leader/1", peer=link.peer, term=1, renewal=0)
    )
    reports.report_suspects(NOW + 1)
    assert [item.suspect.target for item in link.sent] == ["t1"]


def test_own_suspects_expire() -> None:
    """An expired suspect is not reported."""
    link = FakeLink("leader", is_outgoing=True)
    links = make_links(link)
    leader = KnownLeader(links)
    poison = PoisonDetector()
    reports = PoisonReports(links, leader, poison)
    poison.on_suspect(FINGERPRINT, "t1", NOW)
    reports.report_suspects(NOW)
    leader.adopt_record(
        LeaseRecord(holder="leader/1", peer=link.peer, term=1, renewal=0)
    )
    reports.report_suspects(NOW + SUSPECT_LIFETIME)
    assert not link.sent


def test_quarantines_are_sent_to_new_instances() -> None:
    """Failure: an instance that had just started served a quarantined request."""
    poison = PoisonDetector()
    reports = PoisonReports(make_links(), KnownLeader(make_links()), poison)
    poison.quarantine(FINGERPRINT, NOW)
    started = FakeLink("started")
    reports.send_quarantines(started, NOW + 1)
    (item,) = started.sent
    assert list(item.quarantine.fingerprints) == [FINGERPRINT]
    reports.send_quarantines(started, NOW + QUARANTINE_TIME)
    assert len(started.sent) == 1
