"""Tests of when a request may be sent once more."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus

import pytest

from swiftpin.exceptions import (
    AnswerLostError,
    RequestError,
    RetryBudgetSpentError,
    TargetConnectError,
    TargetRefusedError,
)
from swiftpin.model.bounds import Bounds
from swiftpin.model.request_kind import RequestKind
from swiftpin.router.call import Call
from swiftpin.router.fleet_size import ANNOUNCEMENT_TIME, FleetSize
from swiftpin.router.retry_policy import RetryPolicy
from tests.router.calls import NOW, make_call

WINDOW = 10.0
BOUNDS = Bounds(
    drain_limit=2.0,
    apply_limit=2.0,
    shutdown_grace=3.0,
    max_hold=10.0,
    retry_ratio=0.0,
    retry_window=WINDOW,
    retry_slack=10.0,
    stability_period=3.0,
)
AVAILABLE_RETRIES = 8
"""Retries in a window of the only instance: its part of the slack, less what it may
save of earned ones."""


def make_policy(members: int = 1, bounds: Bounds = BOUNDS) -> RetryPolicy:
    """Return a policy of one of several instances, which has its share of the slack."""
    fleet_size = FleetSize()
    for seconds in range(round(WINDOW + ANNOUNCEMENT_TIME) + 1):
        fleet_size.record_member_count(
            members, NOW - WINDOW - ANNOUNCEMENT_TIME + seconds
        )
    return RetryPolicy(bounds, fleet_size)


def keep_in_touch(policy: RetryPolicy, *, until: float) -> None:
    """Have the instance hear the holder until a time."""
    for seconds in range(round(until - NOW) + 1):
        policy._fleet_size.record_member_count(1, NOW + seconds)


@pytest.fixture(name="policy")
def policy_fixture() -> RetryPolicy:
    """Return the policy of the only instance."""
    return make_policy()


def try_retry(policy: RetryPolicy, call: Call, now: float = NOW) -> RequestError | None:
    """Return why a request may not be tried again, None when it was."""
    try:
        policy.check_retry_allowed(call, now)
    except RequestError as err:
        return err
    policy.record_send(call, now)
    return None


@pytest.mark.parametrize("kind", RequestKind)
def test_refused_requests_of_either_kind_are_sent_again(
    policy: RetryPolicy, kind: RequestKind
) -> None:
    """A target that says it did not run a request leaves it safe to send."""
    assert try_retry(policy, make_call(kind)) is None


def test_once_only_request_that_may_have_run_is_not_sent_again(
    policy: RetryPolicy,
) -> None:
    """Symptom: an order is carried out twice.

    Sequence: a target takes a request that must not repeat and its answer is lost.
    Cause: the request was sent to another target though the first may have run it.
    """
    call = make_call(RequestKind.ONCE, may_have_run=True)
    assert isinstance(try_retry(policy, call), AnswerLostError)


def test_idempotent_request_that_may_have_run_is_sent_again(
    policy: RetryPolicy,
) -> None:
    """A lost answer to an idempotent request is followed by another try."""
    assert try_retry(policy, make_call(may_have_run=True)) is None


def test_attempt_limit_of_the_route_is_respected(policy: RetryPolicy) -> None:
    """As many targets as the route allows get the request, and none more."""
    assert try_retry(policy, make_call(sends=2, attempts=3)) is None
    refused = try_retry(policy, make_call(sends=3, attempts=3))
    assert isinstance(refused, TargetRefusedError)
    lost = try_retry(policy, make_call(sends=3, attempts=3, may_have_run=True))
    assert isinstance(lost, AnswerLostError)


def test_streamed_bodies_are_not_sent_again(policy: RetryPolicy) -> None:
    """What was passed on while it came in is not there any more."""
    error = try_retry(policy, make_call(can_be_sent=False))
    assert isinstance(error, TargetRefusedError)


def test_tries_that_reached_no_target_use_no_budget(policy: RetryPolicy) -> None:
    """A request that was never written is tried again without budget or attempts."""
    for _ in range(3 * AVAILABLE_RETRIES):
        assert try_retry(policy, make_call(sends=0, attempts=1)) is None
    assert isinstance(policy.final_error(make_call(sends=0)), TargetConnectError)


def test_budget_of_the_service_is_respected(policy: RetryPolicy) -> None:
    """Symptom: retries multiply the load of a service that fails.

    Sequence: all targets refuse; every request is sent again.
    Cause: nobody counted the second sends of a window.
    """
    for _ in range(AVAILABLE_RETRIES):
        assert try_retry(policy, make_call()) is None
    refused = try_retry(policy, make_call())
    assert isinstance(refused, RetryBudgetSpentError)
    assert refused.retry_after is not None
    # What may have run is not called refused, whatever ended it.
    lost = try_retry(policy, make_call(may_have_run=True))
    assert isinstance(lost, AnswerLostError)
    later = NOW + WINDOW
    keep_in_touch(policy, until=later)
    assert try_retry(policy, make_call(), later) is None


def test_budget_is_shared_by_the_instances() -> None:
    """Each of several instances spends its part of the slack."""
    policy = make_policy(members=4)
    assert try_retry(policy, make_call()) is None
    assert try_retry(policy, make_call()) is not None


def test_budget_grows_with_the_requests() -> None:
    """A share of the requests may be sent again, beyond the slack."""
    policy = make_policy(bounds=replace(BOUNDS, retry_ratio=0.5, retry_slack=0.0))
    assert try_retry(policy, make_call()) is not None
    for _ in range(10):
        policy.count_request("desk", NOW)
    assert try_retry(policy, make_call()) is None


def test_reloaded_bounds_keep_what_was_counted(policy: RetryPolicy) -> None:
    """Failure: each reload of the settings brought a window's retries anew."""
    for _ in range(AVAILABLE_RETRIES):
        try_retry(policy, make_call())
    policy.set_bounds(replace(BOUNDS, retry_slack=10.5))
    assert try_retry(policy, make_call()) is not None
    policy.set_bounds(replace(BOUNDS, retry_slack=20.0))
    assert try_retry(policy, make_call()) is None


def test_retry_that_is_not_sent_uses_no_budget(policy: RetryPolicy) -> None:
    """Retries that got no permit are left for other requests."""
    for _ in range(3 * AVAILABLE_RETRIES):
        call = make_call()
        policy.check_retry_allowed(call, NOW)
        policy.release(call)
    assert try_retry(policy, make_call()) is None


def test_retry_is_reserved_once_for_several_tries(policy: RetryPolicy) -> None:
    """A retry that could not be sent to one target is still there for the next."""
    call = make_call()
    for _ in range(3 * AVAILABLE_RETRIES):
        policy.check_retry_allowed(call, NOW)
    for _ in range(AVAILABLE_RETRIES - 1):
        assert try_retry(policy, make_call()) is None
    assert try_retry(policy, make_call()) is not None


def test_failures_of_targets_are_followed_by_a_try(policy: RetryPolicy) -> None:
    """A target's own error is not the answer while another target may have a better."""
    call = make_call()
    assert policy.should_retry_answer(call, HTTPStatus.INTERNAL_SERVER_ERROR, 0.9, NOW)
    assert call.may_have_run


@pytest.mark.parametrize(
    ("call", "status", "left"),
    [
        (make_call(), HTTPStatus.OK, 0.9),
        (make_call(), HTTPStatus.NOT_FOUND, 0.9),
        (make_call(RequestKind.ONCE), HTTPStatus.INTERNAL_SERVER_ERROR, 0.9),
        (make_call(sends=2), HTTPStatus.INTERNAL_SERVER_ERROR, 0.9),
        (make_call(can_be_sent=False), HTTPStatus.INTERNAL_SERVER_ERROR, 0.9),
        (make_call(), HTTPStatus.INTERNAL_SERVER_ERROR, 0.1),
    ],
    ids=["success", "no failure", "once", "attempts", "streamed", "no time"],
)
def test_answers_that_are_not_retried(
    policy: RetryPolicy, call: Call, status: int, left: float
) -> None:
    """Answers are passed on that are none to mend, or that no try can mend."""
    assert not policy.should_retry_answer(call, status, left, NOW)
    # Nothing of the budget went on them.
    for _ in range(AVAILABLE_RETRIES):
        assert try_retry(policy, make_call()) is None


def test_failures_are_passed_on_without_budget(policy: RetryPolicy) -> None:
    """A service whose retries are used up answers as its targets do."""
    for _ in range(AVAILABLE_RETRIES):
        try_retry(policy, make_call())
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    assert not policy.should_retry_answer(make_call(), status, 0.9, NOW)
