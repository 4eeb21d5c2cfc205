"""Whether a request may be sent once more."""

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
"""Seconds after which a caller may come back whose request a target refused: one that
sheds by chance takes the next, and the queue here tells the load of the others."""

MIN_RETRY_TIME_SHARE: Final = 0.3
"""Part of the objective that must be left for a try after a target's own failure; with
less, the failure is passed on as it is."""


class RetryPolicy:
    """Decides whether a request may be retried.

    A request that must not run twice is sent again only when the last target certainly
    did not run it; one that may be repeated also after a failure.
    """

    def __init__(self, bounds: Bounds, fleet_size: FleetSize) -> None:
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._budgets_by_service: dict[str, RetryBudget] = {}

    @callback
    def set_bounds(self, bounds: Bounds) -> None:
        """Take new bounds; what was counted stays."""
        self._bounds = bounds

    @callback
    def members(self, now: float) -> int | None:
        """Return how many instances share the slack, None if this one has no share."""
        return self._fleet_size.members(self._bounds.retry_window, now)

    @callback
    def count_request(self, service: str, now: float) -> None:
        """Count a request, whether it is sent or not."""
        self._budget_for(service).record_request(self._limits(now), now)

    @callback
    def record_send(self, call: Call, now: float) -> None:
        """Take a retry off the budget; a target is about to get it."""
        if call.is_retry_reserved:
            call.is_retry_reserved = False
            self._budget_for(call.service).spend(now)

    @callback
    def release(self, call: Call) -> None:
        """Give back what was kept for a retry that is not sent."""
        if call.is_retry_reserved:
            call.is_retry_reserved = False
            self._budget_for(call.service).release()

    @callback
    def check_retry_allowed(self, call: Call, now: float) -> None:
        """Raise the final error unless the request may be tried once more.

        `now` is the suspend-aware time, by which budgets are counted.
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
        """Return whether a target's answer is to be followed by another try.

        Some targets fail part of their requests while they count as healthy. `left` is
        the time until the request's end, in seconds.
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
        """Return what the caller is told when nothing more is tried."""
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
        """Keep a part of the budget for a request's next send, if there is one."""
        if not call.is_retry_reserved:
            budget = self._budget_for(call.service)
            call.is_retry_reserved = budget.reserve(self._limits(now), now)
        return call.is_retry_reserved

    @callback
    def _limits(self, now: float) -> RetryLimits:
        """Return what this instance may spend on one service."""
        return retry_limits(self._bounds, self.members(now))

    @callback
    def _budget_for(self, service: str) -> RetryBudget:
        """Return the budget of the retries of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = RetryBudget()
        return budget
