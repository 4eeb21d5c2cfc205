"""Policy for retries of requests."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from swiftpin.core import callback
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
from swiftpin.router.fleet_size import FleetSize
from swiftpin.router.retry_budget import RetryBudget
from swiftpin.router.retry_limits import RetryLimits, retry_limits
from swiftpin.router.step_failure import StepFailure

REFUSED_RETRY_AFTER: Final = 0.1
"""Seconds after which a caller may retry a request that a target refused. A target that
sheds load at random is likely to accept the next one, and the queue of this instance
already reflects the load of the other targets."""

MIN_RETRY_TIME_SHARE: Final = 0.3
"""Share of the latency objective that must remain for a retry after a target answered
5xx. With less, the target's answer is passed on to the caller."""


class RetryPolicy:
    """Decides whether a request may be retried.

    A request that must not run twice is sent again only if the last target stated that
    it did not run it. An idempotent request is also sent again after a failure.
    """

    def __init__(self, bounds: Bounds, fleet_size: FleetSize) -> None:
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._budgets_by_service: dict[str, RetryBudget] = {}

    @callback
    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the bounds and keep the counts."""
        self._bounds = bounds

    @callback
    def members(self, now: float) -> int | None:
        """Return how many instances share the slack.

        Return None if this instance has no share.
        """
        return self._fleet_size.members(self._bounds.retry_window, now)

    @callback
    def count_request(self, service: str, now: float) -> None:
        """Count a request towards the budget, whether it is sent or not."""
        self._budget_for(service).record_request(self._limits(now), now)

    @callback
    def record_send(self, call: Call, now: float) -> None:
        """Charge the reserved retry, if any, to the budget right before it is sent."""
        if call.is_retry_reserved:
            call.is_retry_reserved = False
            self._budget_for(call.service).spend(now)

    @callback
    def release(self, call: Call) -> None:
        """Release the reservation of a retry that is not sent."""
        if call.is_retry_reserved:
            call.is_retry_reserved = False
            self._budget_for(call.service).release()

    @callback
    def check_retry_allowed(self, call: Call, now: float) -> None:
        """Raise the final error unless the request may be retried.

        `now` is the suspend-aware time, which budgets use.
        """
        if call.may_have_run and call.route.kind is RequestKind.ONCE:
            raise self.final_error(call)
        if not call.sends:
            return
        if call.sends >= call.route.max_attempts or not call.body.can_be_sent:
            raise self.final_error(call)
        if not self._reserve(call, now):
            call.record_failure(StepFailure.BUDGET_SPENT, "no retry: budget spent")
            if call.may_have_run:
                raise self.final_error(call)
            raise RetryBudgetSpentError(
                "the service's retries are used up", retry_after=REFUSED_RETRY_AFTER
            )

    @callback
    def should_retry_answer(
        self, call: Call, status: int, time_left: float, now: float
    ) -> bool:
        """Return whether to retry the request after a target's answer.

        Some targets fail part of their requests while they count as healthy.
        `time_left` is the time until the request's deadline, in seconds.
        """
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return False
        call.may_have_run = True
        return (
            call.route.kind is RequestKind.IDEMPOTENT
            and call.sends < call.route.max_attempts
            and call.body.can_be_sent
            and time_left > call.route.objective * MIN_RETRY_TIME_SHARE
            and self._reserve(call, now)
        )

    @callback
    def final_error(self, call: Call) -> RequestError:
        """Return the error for the caller when the request is not retried."""
        if call.may_have_run:
            return AnswerLostError("the target's answer was lost")
        if call.sends:
            return TargetRefusedError(
                "the target refused the request", retry_after=REFUSED_RETRY_AFTER
            )
        return TargetConnectError(
            "the target could not be reached", retry_after=REFUSED_RETRY_AFTER
        )

    @callback
    def _reserve(self, call: Call, now: float) -> bool:
        """Reserve a retry for the request; return whether it has one."""
        if not call.is_retry_reserved:
            budget = self._budget_for(call.service)
            call.is_retry_reserved = budget.reserve(self._limits(now), now)
        return call.is_retry_reserved

    @callback
    def _limits(self, now: float) -> RetryLimits:
        """Return the retry limits of this instance for one service."""
        return retry_limits(self._bounds, self.members(now))

    @callback
    def _budget_for(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = RetryBudget()
        return budget
