"""Tests of what becomes of requests whose targets must not be called."""

from __future__ import annotations

from itertools import pairwise

import pytest

from swiftpin.notices.backoff_decision import (
    ELSEWHERE_RETRY_AFTER,
    MIN_ANSWER_TIME,
    RETURN_SPREAD,
    RejectRequest,
    WaitForTarget,
    decide_backoff,
)


@pytest.mark.parametrize("is_whole_service", [False, True])
def test_request_waits_if_it_can_still_be_answered_in_time(
    *, is_whole_service: bool
) -> None:
    """Guards against callers that are rejected for a pause of a moment."""
    decision = decide_backoff(
        "q1", 0.2, 0.2 + MIN_ANSWER_TIME, is_whole_service=is_whole_service
    )
    assert decision == WaitForTarget(seconds=0.2)


def test_caller_is_sent_to_another_instance_at_once() -> None:
    """Guards against callers that wait here while another instance could serve them."""
    decision = decide_backoff("q1", 3.0, 0.5, is_whole_service=False)
    assert decision == RejectRequest(retry_after=ELSEWHERE_RETRY_AFTER)


def test_callers_of_a_service_that_is_full_return_one_after_the_other() -> None:
    """Guards against callers that all return at the moment when the targets do."""
    decisions = [
        decide_backoff(f"q{number}", 3.0, 0.5, is_whole_service=True)
        for number in range(100)
    ]
    delays = sorted(
        decision.retry_after
        for decision in decisions
        if isinstance(decision, RejectRequest)
    )
    assert len(delays) == 100
    assert delays[0] >= 3.0
    assert delays[-1] <= 3.0 * (1 + RETURN_SPREAD)
    gaps = [later - earlier for earlier, later in pairwise(delays)]
    assert max(gaps) < 0.25 * 3.0 * RETURN_SPREAD
