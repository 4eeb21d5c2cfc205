"""Tests of asking neighbours for a document."""

from __future__ import annotations

from random import Random

import pytest

from swiftpin.router.document_ask import ANSWER_LIMIT, ASK_INTERVAL, DocumentAsk
from tests.router.fleet_fakes import FakeLink, make_links

STEP = ANSWER_LIMIT / 3


class Asker:
    """An instance that knows version 1."""

    def __init__(self, pause: float = 0.0) -> None:
        self.links = [FakeLink("a", configuration=2), FakeLink("b", configuration=2)]
        self.asked: list[FakeLink] = []
        self.ask = DocumentAsk(
            links=make_links(*self.links),
            rng=Random(1),
            is_ahead=lambda heartbeat: heartbeat.configuration > 1,
            send_ask=self._keep,
            pause=lambda: pause,
        )

    def _keep(self, link: object) -> None:
        assert isinstance(link, FakeLink)
        self.asked.append(link)


@pytest.fixture(name="asker")
def asker_fixture() -> Asker:
    """Return an instance that has asked a neighbour."""
    asker = Asker()
    asker.ask.look(1.0)
    assert len(asker.asked) == 1
    return asker


def test_document_that_is_arriving_is_not_asked_for_again(asker: Asker) -> None:
    """Guards against copies that take each other's room on a thin link."""
    now = 1.0
    for _ in range(20):
        now += STEP
        asker.asked[0].last_fragment_at = now
        asker.ask.look(now + STEP)
    assert len(asker.asked) == 1


def test_another_one_is_asked_when_nothing_arrives(asker: Asker) -> None:
    """Guards against an instance that waits for a neighbour that froze."""
    asker.ask.look(1.0 + ANSWER_LIMIT)
    assert len({link.incarnation for link in asker.asked}) == 2


def test_another_one_is_asked_when_the_link_ends(asker: Asker) -> None:
    """Guards against an instance that waits for a neighbour that is gone."""
    asker.asked[0].is_closed = True
    asker.ask.look(1.1 + ASK_INTERVAL)
    assert len(asker.asked) == 2


def test_newer_version_is_asked_for_after_an_answer(asker: Asker) -> None:
    """Guards against an instance that stays at the first of several versions."""
    asker.ask.note_answer()
    asker.ask.look(1.1 + ASK_INTERVAL)
    assert len(asker.asked) == 2


def test_frequent_changes_are_asked_for_together(asker: Asker) -> None:
    """Guards against processor time spent on a list for each change of a target."""
    for tick in range(1, 13):
        asker.ask.note_answer()
        asker.ask.look(1.0 + tick * ASK_INTERVAL / 5)
    assert len(asker.asked) == 3


def test_missed_change_is_asked_for_once(asker: Asker) -> None:
    """Guards against a question for each change that follows a missed one."""
    for _ in range(5):
        asker.ask.ask(asker.links[0], 1.0 + STEP)
    assert len(asker.asked) == 1


def test_one_that_is_told_by_the_store_waits_before_it_asks() -> None:
    """What the store sends is most likely on its way."""
    asker = Asker(pause=0.5)
    asker.ask.look(1.0)
    asker.ask.look(1.4)
    assert not asker.asked
    asker.ask.look(1.5)
    assert len(asker.asked) == 1
