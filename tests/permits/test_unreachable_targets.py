"""Tests of permits for targets to which no connection can be opened."""

from __future__ import annotations

import pytest

from swiftpin.permits.retry_spread import MIN_RETRY_AFTER
from tests.permits.requester import Requester

RETRY_AT = 0.8
"""Time at which a target that failed at 0.1 s may be tried again."""


def fail_connections(
    requester: Requester, count: int = 2, target: str = "a", now: float = 0.1
) -> None:
    """Report failed connections to a target."""
    for _ in range(count):
        number = requester.submit(target)
        requester.release(number, seconds=0.0, unreachable=True, now=now)


def test_unreachable_target_gets_no_permits_while_others_are_busy(
    requester: Requester,
) -> None:
    """Guards against requests that spend all their tries on a dead target.

    Its slots are always free, so it came next whenever the others were busy.
    """
    fail_connections(requester)
    running = requester.submit("", now=0.2)
    waiting = requester.submit("", now=0.2)
    assert requester.decisions_by_number[running].target == "b"
    assert waiting not in requester.decisions_by_number
    requester.release(running, now=0.3)
    assert requester.decisions_by_number[waiting].target == "b"


def test_one_failed_connection_makes_no_target_unreachable(
    requester: Requester,
) -> None:
    """Guards against an idle target after a single lost packet."""
    fail_connections(requester, 1)
    requester.submit("", now=0.2)
    second = requester.submit("", now=0.2)
    assert requester.decisions_by_number[second].target == "a"


def test_unreachable_target_is_tried_by_one_request_at_a_time(
    requester: Requester,
) -> None:
    """Guards against a target that is back and gets no requests."""
    fail_connections(requester)
    requester.submit("", now=RETRY_AT)
    trial = requester.submit("", now=RETRY_AT)
    waiting = requester.submit("", now=RETRY_AT)
    assert requester.decisions_by_number[trial].target == "a"
    assert waiting not in requester.decisions_by_number
    requester.release(trial, seconds=0.1, now=RETRY_AT + 0.1)
    assert requester.decisions_by_number[waiting].target == "a"


def test_failed_trial_postpones_the_next_one(requester: Requester) -> None:
    """Guards against a dead target that is tried again and again."""
    fail_connections(requester)
    requester.submit("", now=RETRY_AT)
    trial = requester.submit("", now=RETRY_AT)
    requester.release(trial, seconds=0.0, unreachable=True, now=RETRY_AT)
    waiting = requester.submit("", now=RETRY_AT + 0.1)
    assert waiting not in requester.decisions_by_number


def test_answer_between_failures_keeps_a_target_reachable(
    requester: Requester,
) -> None:
    """Guards against one instance that is cut off and idles a target for all."""
    fail_connections(requester, 1)
    requester.run("a", seconds=0.1, times=1, now=0.1)
    fail_connections(requester, 1)
    requester.submit("", now=0.3)
    second = requester.submit("", now=0.3)
    assert requester.decisions_by_number[second].target == "a"


def test_owner_of_a_key_is_granted_although_it_is_unreachable(
    requester: Requester,
) -> None:
    """Guards against keyed requests that wait although nobody else may run them."""
    fail_connections(requester)
    number = requester.submit("a", now=0.2)
    assert requester.is_granted(number)


def test_callers_return_when_the_only_targets_are_tried_again(
    requester: Requester,
) -> None:
    """Guards against long retry delays after all targets of a service crashed."""
    fail_connections(requester, target="b", now=0.2)
    first, second, waiting = (requester.submit("", now=0.2) for _ in range(3))
    for number in (first, second):
        requester.release(number, seconds=0.0, unreachable=True, now=0.3)
    rejected = requester.submit("", now=0.4)
    for number, retry_after in ((waiting, 0.4), (rejected, 0.3)):
        decision = requester.decisions_by_number[number]
        assert not decision.target
        assert decision.retry_after == pytest.approx(retry_after)
    trials = [requester.submit("", now=RETRY_AT) for _ in range(2)]
    assert all(requester.decisions_by_number[number].target for number in trials)
    rejected = requester.submit("", now=RETRY_AT)
    assert requester.decisions_by_number[rejected].retry_after == MIN_RETRY_AFTER
