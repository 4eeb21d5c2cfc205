"""Tests of requesting a document from neighbours."""

from __future__ import annotations

from random import Random

import pytest

from swiftpin.router.document_ask import (
    ANSWER_TIMEOUT,
    MIN_REQUEST_INTERVAL,
    DocumentRequester,
)
from tests.router.fleet_fakes import FakeLink, make_links

STEP = ANSWER_TIMEOUT / 3


class Member:
    """An instance that has version 1 while its two neighbours have version 2."""

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
    """Return an instance that has sent a request to one neighbour."""
    member = Member()
    member.requester.update(1.0)
    assert len(member.requested_links) == 1
    return member


def test_arriving_document_is_not_requested_again(member: Member) -> None:
    """Guards against copies that compete for the bandwidth of a slow link."""
    now = 1.0
    for _ in range(20):
        now += STEP
        member.requested_links[0].last_fragment_at = now
        member.requester.update(now + STEP)
    assert len(member.requested_links) == 1


def test_request_goes_to_another_neighbour_after_a_timeout(member: Member) -> None:
    """Guards against an instance that keeps waiting for a frozen neighbour."""
    member.requester.update(1.0 + ANSWER_TIMEOUT)
    assert len({link.incarnation for link in member.requested_links}) == 2


def test_request_is_repeated_when_the_link_closes(member: Member) -> None:
    """Guards against an instance that keeps waiting for a stopped neighbour."""
    member.requested_links[0].is_closed = True
    member.requester.update(1.1 + MIN_REQUEST_INTERVAL)
    assert len(member.requested_links) == 2


def test_newer_version_is_requested_after_an_answer(member: Member) -> None:
    """Guards against an instance that receives only the first of several versions."""
    member.requester.note_answer()
    member.requester.update(1.1 + MIN_REQUEST_INTERVAL)
    assert len(member.requested_links) == 2


def test_frequent_changes_are_requested_together(member: Member) -> None:
    """Guards against CPU time spent on a complete list for each target change."""
    for tick in range(1, 13):
        member.requester.note_answer()
        member.requester.update(1.0 + tick * MIN_REQUEST_INTERVAL / 5)
    assert len(member.requested_links) == 3


def test_missed_change_is_requested_once(member: Member) -> None:
    """Guards against one request for every change that follows a missed one."""
    for _ in range(5):
        member.requester.request(member.links[0], 1.0 + STEP)
    assert len(member.requested_links) == 1


def test_instance_that_watches_the_store_waits_before_a_request() -> None:
    """The update from the store is probably on its way already."""
    member = Member(delay=0.5)
    member.requester.update(1.0)
    member.requester.update(1.4)
    assert not member.requested_links
    member.requester.update(1.5)
    assert len(member.requested_links) == 1
