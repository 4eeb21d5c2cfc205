"""Tests of votes that extend the lease."""

from __future__ import annotations

from types import SimpleNamespace
from typing import cast

from eliot import add_destinations, remove_destination

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.fleet.link import LinkHandler, PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.router.extension_votes import ExtensionVotes


class FakeLease(SimpleNamespace):
    """Fake lease; a probe succeeds immediately if the store answers."""

    async def async_probe(self) -> None:
        """Count the probe and record an answer of the store, if it answers."""
        self.probes += 1
        if self.answers:
            self.health.record_answer(self.clock)


def make_link(name: str, **heartbeat: object) -> PeerLink:
    """Return a link whose peer has sent a heartbeat."""
    link = PeerLink(cast(LinkHandler, None), 0.0, is_outgoing=True)
    link.incarnation = f"{name}/1"
    link.heartbeat = pb.Heartbeat(**heartbeat)
    return link


def make_votes(lease: FakeLease) -> ExtensionVotes:
    """Return the vote handling of a member."""
    return ExtensionVotes(
        links=cast(FleetLinks, None),
        lease=cast(LeaseElection, lease),
        health=lease.health,
    )


async def _async_exchange_heartbeats(*, answers: bool) -> tuple[FakeLease, list[bool]]:
    """Return the votes in heartbeats to the holder, alternating with another peer."""
    lease = FakeLease(
        probes=0, answers=answers, health=StoreHealth(), clock=0.0, own_vote_until=0.0
    )
    votes = make_votes(lease)
    holder = make_link("holder", leads=True, store_lost=True)
    other = make_link("other")
    cast_votes = []
    for number in range(8):
        lease.clock = number * 0.3
        cast_votes.append(votes.cast_vote(holder, lease.clock))
        assert not votes.cast_vote(other, lease.clock)
        if votes._probe is not None:
            await votes._probe
    return lease, cast_votes


async def test_member_that_reaches_the_store_stops_voting() -> None:
    """Guards against a holder that keeps the lease 10 s after only it lost the store.

    Heartbeats to other instances, which are not the holder, reset the time of the loss.
    A member that reached the store then voted again in every heartbeat.
    """
    lease, cast_votes = await _async_exchange_heartbeats(answers=True)
    assert not any(cast_votes[1:])
    assert lease.probes == 1


async def test_member_that_has_lost_the_store_keeps_voting() -> None:
    """The holder keeps the lease while the store answers neither instance."""
    _, cast_votes = await _async_exchange_heartbeats(answers=False)
    assert all(cast_votes)


async def test_start_and_end_of_voting_are_logged() -> None:
    """Guards against votes that leave no trace in the log.

    Votes are sent in heartbeats, which are not logged.
    """
    messages: list[dict[str, object]] = []
    add_destinations(messages.append)
    messages.clear()
    lease = FakeLease(
        probes=0, answers=False, health=StoreHealth(), clock=0.0, own_vote_until=0.0
    )
    votes = make_votes(lease)
    for number, is_lost in enumerate((False, True, True, False, False)):
        holder = make_link("holder", leads=True, store_lost=is_lost)
        votes.cast_vote(holder, 0.3 * number)
        votes.cast_vote(make_link("other"), 0.3 * number)
    remove_destination(messages.append)
    assert [(m["message_type"], m["holder"]) for m in messages] == [
        ("votes_begun", "holder/1"),
        ("votes_ended", "holder/1"),
    ]
