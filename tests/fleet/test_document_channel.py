"""Tests of document transfer over an instance's links."""

from __future__ import annotations

from functools import partial

from google.protobuf.message import DecodeError
import pytest

from swiftpin.fleet import document_channel
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
    """Return an item of about `size` bytes."""
    return pb.Item(issuers=pb.Issuers(peers=[name * size]))


class LinkEnd:
    """One side of a link."""

    def __init__(self, budget: DocumentBudget | None = None) -> None:
        self.sent: list[Item] = []
        self.traffic = LinkTraffic()
        self.channel = DocumentChannel(
            budget or DocumentBudget(0.0), self.sent.append, self.traffic
        )

    def take_sent(self) -> list[Item]:
        """Return and clear the sent items."""
        sent, self.sent[:] = list(self.sent), []
        return sent


def deliver_all(sender: LinkEnd, receiver: LinkEnd) -> list[Item]:
    """Deliver and confirm all fragments; return the completed documents."""
    documents = []
    while fragments := sender.take_sent():
        for item in fragments:
            document = receiver.channel.receive_fragment(item.fragment)
            documents += [document] if document is not None else []
        for _ in receiver.take_sent():
            sender.channel.confirm_fragment()
    return documents


def test_documents_arrive_complete_and_in_order() -> None:
    """Documents split into fragments are reassembled unchanged and in order."""
    sender, receiver = LinkEnd(), LinkEnd()
    items = [make_item(5 * FRAGMENT_SIZE, "a"), make_item(1, "b"), make_item(9000)]
    for item in items:
        sender.channel.add(partial(lambda item: item, item))
    assert deliver_all(sender, receiver) == items
    assert sender.channel.is_idle
    assert sender.traffic.items_sent == {"issuers": 3}


def test_unconfirmed_fragments_per_link_are_limited() -> None:
    """Guards against heartbeats delayed by an entire queued document."""
    sender = LinkEnd()
    sender.channel.add(lambda: make_item(50 * FRAGMENT_SIZE))
    assert len(sender.sent) == MAX_UNCONFIRMED_FRAGMENTS
    sender.channel.confirm_fragment()
    assert len(sender.sent) == MAX_UNCONFIRMED_FRAGMENTS + 1


def test_bandwidth_limits_unconfirmed_fragments_of_all_links() -> None:
    """Guards against heartbeats delayed by documents to all receivers at once."""
    budget = DocumentBudget(
        2 * MIN_FRAGMENT_BUDGET * FRAGMENT_SIZE / MAX_IN_FLIGHT_SECONDS
    )
    ends = [LinkEnd(budget) for _ in range(4 * MIN_FRAGMENT_BUDGET)]
    for end in ends:
        end.channel.add(lambda: make_item(5 * FRAGMENT_SIZE))
    assert sum(len(end.sent) for end in ends) == 2 * MIN_FRAGMENT_BUDGET


def test_lost_link_releases_its_budget() -> None:
    """Guards against budget that stays used after a link was lost."""
    budget = DocumentBudget(0.0)
    ends = [LinkEnd(budget) for _ in range(MIN_FRAGMENT_BUDGET)]
    for end in ends:
        end.channel.add(lambda: make_item(5 * FRAGMENT_SIZE))
    waiting = ends[MIN_FRAGMENT_BUDGET // MAX_UNCONFIRMED_FRAGMENTS]
    assert not waiting.sent
    ends[0].channel.close()
    assert len(waiting.sent) == MAX_UNCONFIRMED_FRAGMENTS


def test_document_is_created_when_its_transmission_starts() -> None:
    """Guards against sending a version that was replaced while it was queued."""
    sender, receiver = LinkEnd(), LinkEnd()
    versions = ["a"]
    sender.channel.add(lambda: make_item(5 * FRAGMENT_SIZE))
    sender.channel.add(lambda: make_item(1, versions[-1]))
    sender.channel.add(lambda: None)
    versions.append("b")
    assert deliver_all(sender, receiver)[1:] == [make_item(1, "b")]


def test_malformed_document_is_an_error() -> None:
    """Guards against arbitrary bytes accepted as a document."""
    with pytest.raises(DecodeError):
        LinkEnd().channel.receive_fragment(pb.Fragment(data=b"\xff\xff", is_last=True))


def test_document_without_end_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a peer whose fragments fill the memory."""
    monkeypatch.setattr(document_channel, "MAX_DOCUMENT_SIZE", 2 * FRAGMENT_SIZE)
    receiver = LinkEnd()
    fragment = pb.Fragment(data=bytes(FRAGMENT_SIZE))
    for _ in range(2):
        assert receiver.channel.receive_fragment(fragment) is None
    with pytest.raises(DecodeError):
        receiver.channel.receive_fragment(fragment)
