"""Tests of votes."""

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
    """Notes votes; its probe is answered at once when the store answers."""

    async def async_probe(self) -> None:
        """Ask the store."""
        self.probes += 1
        if self.answers:
            self.health.note_answer(self.clock)


def make_link(name: str, **heartbeat: object) -> PeerLink:
    """Return a link whose other side gave a heartbeat."""
    link = PeerLink(cast(LinkHandler, None), 0.0, is_outgoing=True)
    link.incarnation = f"{name}/1"
    link.heartbeat = pb.Heartbeat(**heartbeat)
    return link


def make_votes(lease: FakeLease) -> ExtensionVotes:
    """Return the votes of a member."""
    return ExtensionVotes(
        links=cast(FleetLinks, None),
        lease=cast(LeaseElection, lease),
        health=lease.health,
    )


async def _async_beats(*, answers: bool) -> tuple[FakeLease, list[bool]]:
    """Return what is voted at heartbeats to the holder, others between them."""
    lease = FakeLease(
        probes=0, answers=answers, health=StoreHealth(), clock=0.0, own_vote_until=0.0
    )
    votes = make_votes(lease)
    holder = make_link("holder", leads=True, store_lost=True)
    other = make_link("other")
    given = []
    for number in range(8):
        lease.clock = number * 0.3
        given.append(votes.cast_vote(holder, lease.clock))
        assert not votes.cast_vote(other, lease.clock)
        if votes._probe is not None:
            await votes._probe
    return lease, given


async def test_member_that_the_store_answers_votes_no_more() -> None:
    """Symptom: a holder that the store turned away kept the lease for ten seconds.

    Sequence: it said that it lost the store; a member that the store answers voted at
    every heartbeat. Cause: heartbeats to other instances, which do not lead, made
    the loss look new each time.
    """
    lease, given = await _async_beats(answers=True)
    assert not any(given[1:])
    assert lease.probes == 1


async def test_member_that_the_store_turns_away_goes_on_voting() -> None:
    """While the store answers neither, the holder stays."""
    _, given = await _async_beats(answers=False)
    assert all(given)


async def test_begin_and_end_of_votes_have_a_line_each() -> None:
    """Symptom: that members had voted again and again was inferred from the code.

    Sequence: a holder lost the store, found it again and no line told who had voted
    for it and until when. Cause: votes travel in heartbeats, which have no lines.
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
