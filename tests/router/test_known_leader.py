"""Tests of the lease holder as known to an instance."""

from __future__ import annotations

import pytest

from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.keyranges.lease_record import LeaseRecord
from swiftpin.router.known_leader import LEADER_HEARTBEAT_TIMEOUT, KnownLeader
from tests.router.fleet_fakes import FakeLink, make_links


def make_record(holder: str, term: int, renewal: int = 0) -> LeaseRecord:
    """Return a lease record."""
    return LeaseRecord(holder=holder, peer=f"{holder}:1", term=term, renewal=renewal)


@pytest.mark.parametrize(
    ("term", "renewal", "holder"), [(3, 1, "new"), (2, 7, "new"), (2, 6, "old")]
)
def test_older_record_is_ignored(term: int, renewal: int, holder: str) -> None:
    """A delayed read must not restore a former holder."""
    leader = KnownLeader(make_links())
    leader.adopt_record(make_record("old", 2, 7))
    leader.adopt_record(make_record("new", term, renewal))
    assert leader.record.holder == holder


def test_only_heartbeats_of_newer_terms_are_adopted() -> None:
    """A heartbeat counts only if its term is newer than the record read."""
    leader = KnownLeader(make_links())
    leader.adopt_record(make_record("a", 2, 7))
    leader.adopt_heartbeat(pb.Heartbeat(term=2, leader="b", leader_peer="b:1"))
    assert leader.record.holder == "a"
    leader.adopt_heartbeat(pb.Heartbeat(term=3, leader="b", leader_peer="b:1"))
    assert (leader.record.holder, leader.record.peer) == ("b", "b:1")


def test_holder_is_alive_until_the_heartbeat_timeout() -> None:
    """Candidates read the lease once the heartbeats of its holder have stopped."""
    leader = KnownLeader(make_links(FakeLink("a", leads=True, term=2)))
    assert leader.is_holder_alive(2, LEADER_HEARTBEAT_TIMEOUT - 0.01)
    assert not leader.is_holder_alive(2, LEADER_HEARTBEAT_TIMEOUT)
    follower = FakeLink("b", leads=False, term=2)
    assert not KnownLeader(make_links(follower)).is_holder_alive(2, 0.0)
    assert not KnownLeader(make_links()).is_holder_alive(0, 0.0)


def test_holder_of_a_later_term_counts_as_alive() -> None:
    """Guards against candidates that read the lease four times per second.

    This happened to those that had not yet read the record of the new term.
    """
    leader = KnownLeader(make_links(FakeLink("a", leads=True, term=3)))
    assert leader.is_holder_alive(2, 0.0)
    assert leader.is_holder_alive(3, 0.0)
    assert not leader.is_holder_alive(4, 0.0)
