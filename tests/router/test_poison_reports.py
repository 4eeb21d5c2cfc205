"""Tests of telling of requests that crash targets."""

from __future__ import annotations

from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.keyranges.lease_record import LeaseRecord
from swiftpin.router.known_leader import KnownLeader
from swiftpin.router.poison_reports import PoisonReports
from swiftpin.router.poison_watch import CRASHES, PoisonWatch
from tests.router.fleet_fakes import FakeLink, make_links

FINGERPRINT = 77
NOW = 100.0


def test_suspect_goes_to_the_leader() -> None:
    """Only one instance counts, since resends come in at any."""
    link = FakeLink("leader", is_outgoing=True)
    links = make_links(link)
    leader = KnownLeader(links)
    leader.note_record(
        LeaseRecord(holder="leader/1", peer=link.peer, term=1, renewal=0)
    )
    poison = PoisonWatch()
    PoisonReports(links, leader, poison)
    poison.on_suspect(FINGERPRINT, "t1")
    (item,) = link.sent
    assert (item.suspect.fingerprint, item.suspect.target) == (FINGERPRINT, "t1")


def test_verdict_goes_to_everyone_and_is_taken() -> None:
    """The instance that counts tells all, and those refuse the request."""
    member = FakeLink("member")
    links = make_links(member)
    counting = PoisonReports(links, KnownLeader(links), PoisonWatch())
    for number in range(CRASHES):
        suspect = pb.Suspect(fingerprint=FINGERPRINT, target=f"t{number}")
        counting.take_suspect(suspect, NOW)
    (item,) = member.sent
    poison = PoisonWatch()
    told = PoisonReports(make_links(), KnownLeader(make_links()), poison)
    told.take_quarantine(item.quarantine, NOW)
    assert poison.is_quarantined(FINGERPRINT, NOW)
