"""Tests of the reception of targets' statements."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.notices.conftest import ANSWER, NOW, REJECTION, TARGET, Heard, announcing


@pytest.mark.parametrize("head", [ANSWER, REJECTION], ids=["served", "rejected"])
def test_drain_is_heard_in_any_answer(heard: Heard, head: object) -> None:
    """Guards against announcements that only some kinds of answers carry."""
    heard.hear(announcing(ANSWER if head is ANSWER else REJECTION))
    assert heard.drains.count() == 1


@pytest.mark.parametrize("status", [429, 503])
def test_rejection_asks_for_a_backoff(heard: Heard, status: int) -> None:
    """Guards against targets that are called although they asked for a pause."""
    heard.hear(replace(REJECTION, status=status))
    assert heard.backoffs.remaining(TARGET.id, NOW + 1.0) == 2.0


@pytest.mark.parametrize("status", [200, 302, 404, 421, 500])
def test_delay_in_another_answer_is_no_backoff(heard: Heard, status: int) -> None:
    """Guards against a target that is lost for a delay that concerns one resource."""
    heard.hear(replace(REJECTION, status=status))
    assert not heard.backoffs.remaining(TARGET.id, NOW)


def test_statements_of_another_target_at_the_address_are_ignored(heard: Heard) -> None:
    """Guards against a target that is marked for what its successor states."""
    heard.hear(replace(announcing(REJECTION), instance="b", rate_limit=1.0))
    assert not heard.drains.count()
    assert not heard.backoffs.count(NOW)
    assert not heard.rate_reports.limited_targets


def test_rate_limit_is_heard(heard: Heard) -> None:
    """Guards against a rate limit that is read on one way only."""
    heard.hear(replace(ANSWER, rate_limit=2.0))
    assert heard.rate_reports.limit_of(TARGET.id) == 2.0
