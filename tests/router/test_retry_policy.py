"""Tests of the retry policy."""

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
"""Retries per window of a single instance: its share of the slack, less the earned
retries that it may save."""


def make_policy(members: int = 1, bounds: Bounds = BOUNDS) -> RetryPolicy:
    """Return the policy of one of several instances, with its share of the slack."""
    fleet_size = FleetSize()
    for seconds in range(round(WINDOW + ANNOUNCEMENT_TIME) + 1):
        fleet_size.record_member_count(
            members, NOW - WINDOW - ANNOUNCEMENT_TIME + seconds
        )
    return RetryPolicy(bounds, fleet_size)


def receive_heartbeats(policy: RetryPolicy, *, until: float) -> None:
    """Let the instance receive the lease holder's heartbeats until a time."""
    for seconds in range(round(until - NOW) + 1):
        policy._fleet_size.record_member_count(1, NOW + seconds)


@pytest.fixture(name="policy")
def policy_fixture() -> RetryPolicy:
    """Return the policy of a single instance."""
    return make_policy()


def try_retry(policy: RetryPolicy, call: Call, now: float = NOW) -> RequestError | None:
    """Retry a request; return the error if that is not allowed."""
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
    """A request that a target states it did not run is safe to send again."""
    assert try_retry(policy, make_call(kind)) is None


def test_once_only_request_that_may_have_run_is_not_sent_again(
    policy: RetryPolicy,
) -> None:
    """Failure: an order was executed twice.

    The answer to a request that must not run twice was lost, and the request was sent
    to another target although the first may have run it.
    """
    call = make_call(RequestKind.ONCE, may_have_run=True)
    assert isinstance(try_retry(policy, call), AnswerLostError)


def test_idempotent_request_that_may_have_run_is_sent_again(
    policy: RetryPolicy,
) -> None:
    """An idempotent request whose answer was lost is retried."""
    assert try_retry(policy, make_call(may_have_run=True)) is None


def test_attempt_limit_of_the_route_is_respected(policy: RetryPolicy) -> None:
    """A request is sent at most as often as its route allows."""
    assert try_retry(policy, make_call(sends=2, attempts=3)) is None
    refused = try_retry(policy, make_call(sends=3, attempts=3))
    assert isinstance(refused, TargetRefusedError)
    lost = try_retry(policy, make_call(sends=3, attempts=3, may_have_run=True))
    assert isinstance(lost, AnswerLostError)


def test_streamed_bodies_are_not_sent_again(policy: RetryPolicy) -> None:
    """A body that was forwarded while it was received is not kept for a retry."""
    error = try_retry(policy, make_call(can_be_sent=False))
    assert isinstance(error, TargetRefusedError)


def test_tries_that_reached_no_target_use_no_budget(policy: RetryPolicy) -> None:
    """Tries that never wrote the request use neither budget nor attempts."""
    for _ in range(3 * AVAILABLE_RETRIES):
        assert try_retry(policy, make_call(sends=0, attempts=1)) is None
    assert isinstance(policy.final_error(make_call(sends=0)), TargetConnectError)


def test_budget_of_the_service_is_respected(policy: RetryPolicy) -> None:
    """Failure: retries multiplied the load of a failing service.

    All targets refused, and every request was retried without a limit per window.
    """
    for _ in range(AVAILABLE_RETRIES):
        assert try_retry(policy, make_call()) is None
    refused = try_retry(policy, make_call())
    assert isinstance(refused, RetryBudgetSpentError)
    assert refused.retry_after is not None
    # A request that may have run is never reported as refused.
    lost = try_retry(policy, make_call(may_have_run=True))
    assert isinstance(lost, AnswerLostError)
    later = NOW + WINDOW
    receive_heartbeats(policy, until=later)
    assert try_retry(policy, make_call(), later) is None


def test_budget_is_shared_by_the_instances() -> None:
    """Each of several instances spends only its share of the slack."""
    policy = make_policy(members=4)
    assert try_retry(policy, make_call()) is None
    assert try_retry(policy, make_call()) is not None


def test_budget_grows_with_the_requests() -> None:
    """A share of the requests may be retried in addition to the slack."""
    policy = make_policy(bounds=replace(BOUNDS, retry_ratio=0.5, retry_slack=0.0))
    assert try_retry(policy, make_call()) is not None
    for _ in range(10):
        policy.count_request("desk", NOW)
    assert try_retry(policy, make_call()) is None


def test_reloaded_bounds_keep_the_counts(policy: RetryPolicy) -> None:
    """Failure: each reload of the settings allowed a full window's retries again."""
    for _ in range(AVAILABLE_RETRIES):
        try_retry(policy, make_call())
    policy.set_bounds(replace(BOUNDS, retry_slack=10.5))
    assert try_retry(policy, make_call()) is not None
    policy.set_bounds(replace(BOUNDS, retry_slack=20.0))
    assert try_retry(policy, make_call()) is None


def test_retry_that_is_not_sent_uses_no_budget(policy: RetryPolicy) -> None:
    """Retries that got no permit remain available to other requests."""
    for _ in range(3 * AVAILABLE_RETRIES):
        call = make_call()
        policy.check_retry_allowed(call, NOW)
        policy.release(call)
    assert try_retry(policy, make_call()) is None


def test_retry_is_reserved_once_for_several_tries(policy: RetryPolicy) -> None:
    """A reserved retry that reached no target is kept for the next try."""
    call = make_call()
    for _ in range(3 * AVAILABLE_RETRIES):
        policy.check_retry_allowed(call, NOW)
    for _ in range(AVAILABLE_RETRIES - 1):
        assert try_retry(policy, make_call()) is None
    assert try_retry(policy, make_call()) is not None


def test_target_errors_are_retried(policy: RetryPolicy) -> None:
    """A target's 5xx answer is not relayed while a retry may succeed."""
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
    """Answers are relayed if they are not errors or a retry is not possible."""
    assert not policy.should_retry_answer(call, status, left, NOW)
    # The budget is unchanged.
    for _ in range(AVAILABLE_RETRIES):
        assert try_retry(policy, make_call()) is None


def test_target_errors_are_relayed_when_the_budget_is_spent(
    policy: RetryPolicy,
) -> None:
    """When the retry budget is spent, the target's answer is relayed."""
    for _ in range(AVAILABLE_RETRIES):
        try_retry(policy, make_call())
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    assert not policy.should_retry_answer(make_call(), status, 0.9, NOW)
