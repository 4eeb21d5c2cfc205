"""Tests of permits that are given to other instances."""

from __future__ import annotations

from typing import Any

import pytest

from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.permits.permit_issuer import PermitIssuer
from tests.permits.asker import make_target


class RecordingLink(PeerLink):
    """A link that keeps what is sent on it."""

    def __init__(self, incarnation: str) -> None:
        handler: Any = None
        super().__init__(handler, 0.0, is_outgoing=False)
        self.incarnation = incarnation
        self.answers: list[Item] = []

    def send(self, item: Item) -> None:
        """Keep an answer."""
        self.answers.append(item.answer)


def make_ask(number: int) -> Item:
    """Return an ask for the only slot."""
    return pb.PermitAsk(
        id=number,
        service="desk",
        target="a",
        priority=1,
        objective_left=1.0,
        time_left=2.0,
        zone="z1",
    )


@pytest.fixture(name="issuer")
def issuer_fixture() -> PermitIssuer:
    """Return an issuer for one target with one slot."""
    issuer = PermitIssuer()
    issuer.set_targets("desk", [make_target("a")], [], 0.0)
    return issuer


def test_permits_of_a_crashed_instance_come_back(issuer: PermitIssuer) -> None:
    """Symptom: a target idles though others wait for its slot.

    Sequence: an instance has the permit and crashes; its link breaks.
    Cause: nobody would ever hand the permit back.
    """
    crashed, other = RecordingLink("i1/a"), RecordingLink("i2/b")
    issuer.handle_ask(crashed, make_ask(1), 0.0)
    issuer.handle_ask(other, make_ask(1), 0.0)
    assert crashed.answers[0].granted
    assert not other.answers
    issuer.release_link(crashed, 0.1)
    assert other.answers[0].granted


def test_late_end_takes_no_permit_of_the_next_link(issuer: PermitIssuer) -> None:
    """Symptom: more requests run at a target than it has slots.

    Sequence: a link breaks and is opened again; its instance gets a permit under a
    number that the old link had used, and a late end of the old one arrives.
    Cause: permits were kept by the instance's name.
    """
    before, after = RecordingLink("i1/a"), RecordingLink("i1/a")
    issuer.handle_ask(before, make_ask(1), 0.0)
    issuer.release_link(before, 0.1)
    issuer.handle_ask(after, make_ask(1), 0.1)
    issuer.handle_end(before, pb.PermitEnd(id=1, service="desk"), 0.2)
    issuer.handle_ask(after, make_ask(2), 0.2)
    assert [answer.id for answer in after.answers] == [1]


def test_rejected_instances_are_told_when_to_come_back(issuer: PermitIssuer) -> None:
    """What the queue decides goes over the link, with the wait."""
    link = RecordingLink("i1/a")
    issuer.handle_ask(link, make_ask(1), 0.0)
    hopeless = make_ask(2)
    hopeless.time_left = 0.05
    issuer.handle_ask(link, hopeless, 0.0)
    assert not link.answers[1].granted
    assert link.answers[1].retry_after > 0
