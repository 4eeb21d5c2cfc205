"""Tests of documents on their way over an instance's links."""

from __future__ import annotations

from functools import partial

from google.protobuf.message import DecodeError
import pytest

from swiftpin.fleet.document_channel import (
    FRAGMENT_SIZE,
    MAX_IN_FLIGHT_SECONDS,
    MAX_UNCONFIRMED_FRAGMENTS,
    MIN_FRAGMENT_BUDGET,
    DocumentBudget,
    DocumentChannel,
)
from swiftpin.fleet.item import Item
from swiftpin.fleet.link_traffic import LinkTraffic
from swiftpin.fleet.proto import fleet_pb2 as pb


def make_item(size: int, name: str = "d") -> Item:
    """Return an item of about some bytes."""
    return pb.Item(issuers=pb.Issuers(peers=[name * size]))


class End:
    """One side of a link."""

    def __init__(self, budget: DocumentBudget | None = None) -> None:
        self.sent: list[Item] = []
        self.traffic = LinkTraffic()
        self.lane = DocumentChannel(
            budget or DocumentBudget(0.0), self.sent.append, self.traffic
        )

    def take_sent(self) -> list[Item]:
        """Return what was sent since the last call."""
        sent, self.sent[:] = list(self.sent), []
        return sent


def pass_on(sender: End, receiver: End) -> list[Item]:
    """Let a sender's fragments arrive and be confirmed; return whole documents."""
    documents = []
    while fragments := sender.take_sent():
        for item in fragments:
            document = receiver.lane.receive_fragment(item.fragment)
            documents += [document] if document is not None else []
        for _ in receiver.take_sent():
            sender.lane.confirm_fragment()
    return documents


def test_documents_arrive_whole_and_in_order() -> None:
    """What is cut up for the way is the same at the other side."""
    sender, receiver = End(), End()
    items = [make_item(5 * FRAGMENT_SIZE, "a"), make_item(1, "b"), make_item(9000)]
    for item in items:
        sender.lane.add(partial(lambda item: item, item))
    assert pass_on(sender, receiver) == items
    assert sender.lane.is_idle
    assert sender.traffic.items_sent == {"issuers": 3}


def test_few_fragments_are_under_way_on_a_link() -> None:
    """Guards against a heartbeat that waits behind a whole document."""
    sender = End()
    sender.lane.add(lambda: make_item(50 * FRAGMENT_SIZE))
    assert len(sender.sent) == MAX_UNCONFIRMED_FRAGMENTS
    sender.lane.confirm_fragment()
    assert len(sender.sent) == MAX_UNCONFIRMED_FRAGMENTS + 1


def test_thin_link_of_a_sender_bounds_what_all_receivers_get_at_once() -> None:
    """Guards against heartbeats of a sender that wait behind all its documents."""
    budget = DocumentBudget(
        2 * MIN_FRAGMENT_BUDGET * FRAGMENT_SIZE / MAX_IN_FLIGHT_SECONDS
    )
    ends = [End(budget) for _ in range(4 * MIN_FRAGMENT_BUDGET)]
    for end in ends:
        end.lane.add(lambda: make_item(5 * FRAGMENT_SIZE))
    assert sum(len(end.sent) for end in ends) == 2 * MIN_FRAGMENT_BUDGET


def test_lost_link_makes_room_for_others() -> None:
    """Guards against receivers that get nothing since others vanished."""
    budget = DocumentBudget(0.0)
    ends = [End(budget) for _ in range(MIN_FRAGMENT_BUDGET)]
    for end in ends:
        end.lane.add(lambda: make_item(5 * FRAGMENT_SIZE))
    waiting = ends[MIN_FRAGMENT_BUDGET // MAX_UNCONFIRMED_FRAGMENTS]
    assert not waiting.sent
    ends[0].lane.close()
    assert len(waiting.sent) == MAX_UNCONFIRMED_FRAGMENTS


def test_document_is_made_when_its_turn_comes() -> None:
    """Guards against versions that are sent although newer ones are known."""
    sender, receiver = End(), End()
    versions = ["a"]
    sender.lane.add(lambda: make_item(5 * FRAGMENT_SIZE))
    sender.lane.add(lambda: make_item(1, versions[-1]))
    sender.lane.add(lambda: None)
    versions.append("b")
    assert pass_on(sender, receiver)[1:] == [make_item(1, "b")]


def test_unreadable_document_is_told() -> None:
    """Guards against bytes that are taken for a document."""
    with pytest.raises(DecodeError):
        End().lane.receive_fragment(pb.Fragment(data=b"\xff\xff", is_last=True))
