"""Tests of the reception of targets' statements."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.notices.conftest import ANSWER, NOW, REJECTION, TARGET, Recorder, announcing


@pytest.mark.parametrize("head", [ANSWER, REJECTION], ids=["served", "rejected"])
def test_drain_is_recorded_from_any_answer(recorder: Recorder, head: object) -> None:
    """Guards against announcements that only some kinds of answers carry."""
    recorder.handle(announcing(ANSWER if head is ANSWER else REJECTION))
    assert recorder.drains.count() == 1


@pytest.mark.parametrize("status", [429, 503])
def test_rejection_asks_for_a_backoff(recorder: Recorder, status: int) -> None:
    """Guards against targets that are called although they asked for a pause."""
    recorder.handle(replace(REJECTION, status=status))
    assert recorder.backoffs.remaining(TARGET.id, NOW + 1.0) == 2.0


@pytest.mark.parametrize("status", [200, 302, 404, 421, 500])
def test_delay_in_another_answer_is_no_backoff(recorder: Recorder, status: int) -> None:
    """Guards against a target that is lost for a delay that concerns one resource."""
    recorder.handle(replace(REJECTION, status=status))
    assert not recorder.backoffs.remaining(TARGET.id, NOW)


def test_statements_of_another_target_at_the_address_are_ignored(
    recorder: Recorder,
) -> None:
    """Guards against a target that is marked for what its successor states."""
    recorder.handle(replace(announcing(REJECTION), instance="b", rate_limit=1.0))
    assert not recorder.drains.count()
    assert not recorder.backoffs.count(NOW)
    assert not recorder.rate_reports.limited_targets


def test_rate_limit_is_recorded(recorder: Recorder) -> None:
    """Guards against a rate limit that is read on one way only."""
    recorder.handle(replace(ANSWER, rate_limit=2.0))
    assert recorder.rate_reports.limit_of(TARGET.id) == 2.0
