"""Tests of asking neighbours for a document."""

from __future__ import annotations

from random import Random

import pytest

from swiftpin.router.document_requester import (
    ANSWER_TIMEOUT,
    MIN_REQUEST_INTERVAL,
    DocumentRequester,
)
from tests.router.fleet_fakes import FakeLink, make_links

STEP = ANSWER_TIMEOUT / 3


class Member:
    """An instance that knows version 1."""

    def __init__(self, delay: float = 0.0) -> None:
        self.links = [FakeLink("a", configuration=2), FakeLink("b", configuration=2)]
        self.requested_links: list[FakeLink] = []
        self.requester = DocumentRequester(
            links=make_links(*self.links),
            rng=Random(1),
            is_ahead=lambda heartbeat: heartbeat.configuration > 1,
            send_request=self._record,
            delay=lambda: delay,
        )

    def _record(self, link: object) -> None:
        assert isinstance(link, FakeLink)
        self.requested_links.append(link)


@pytest.fixture(name="member")
def member_fixture() -> Member:
    """Return an instance that has asked a neighbour."""
    member = Member()
    member.requester.update(1.0)
    assert len(member.requested_links) == 1
    return member


def test_document_that_is_arriving_is_not_asked_for_again(member: Member) -> None:
    """Guards against copies that take each other's room on a thin link."""
    now = 1.0
    for _ in range(20):
        now += STEP
        member.requested_links[0].last_fragment_at = now
        member.requester.update(now + STEP)
    assert len(member.requested_links) == 1


def test_another_one_is_asked_when_nothing_arrives(member: Member) -> None:
    """Guards against an instance that waits for a neighbour that froze."""
    member.requester.update(1.0 + ANSWER_TIMEOUT)
    assert len({link.incarnation for link in member.requested_links}) == 2


def test_another_one_is_asked_when_the_link_ends(member: Member) -> None:
    """Guards against an instance that waits for a neighbour that is gone."""
    member.requested_links[0].is_closed = True
    member.requester.update(1.1 + MIN_REQUEST_INTERVAL)
    assert len(member.requested_links) == 2


def test_newer_version_is_asked_for_after_an_answer(member: Member) -> None:
    """Guards against an instance that stays at the first of several versions."""
    member.requester.note_answer()
    member.requester.update(1.1 + MIN_REQUEST_INTERVAL)
    assert len(member.requested_links) == 2


def test_frequent_changes_are_asked_for_together(member: Member) -> None:
    """Guards against processor time spent on a list for each change of a target."""
    for tick in range(1, 13):
        member.requester.note_answer()
        member.requester.update(1.0 + tick * MIN_REQUEST_INTERVAL / 5)
    assert len(member.requested_links) == 3


def test_missed_change_is_asked_for_once(member: Member) -> None:
    """Guards against a question for each change that follows a missed one."""
    for _ in range(5):
        member.requester.request(member.links[0], 1.0 + STEP)
    assert len(member.requested_links) == 1


def test_one_that_is_told_by_the_store_waits_before_it_asks() -> None:
    """What the store sends is most likely on its way."""
    member = Member(delay=0.5)
    member.requester.update(1.0)
    member.requester.update(1.4)
    assert not member.requested_links
    member.requester.update(1.5)
    assert len(member.requested_links) == 1
