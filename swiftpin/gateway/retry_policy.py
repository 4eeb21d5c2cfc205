"""When swiftpin itself sends a request again."""

from __future__ import annotations

from random import Random
from typing import Final

from swiftpin.config.profile import Profile
from swiftpin.core import callback
from swiftpin.dispatch.backoff import Backoff
from swiftpin.dispatch.exceptions import JournalNotLoadedError
from swiftpin.dispatch.retry_budget import RetryBudget
from swiftpin.exceptions import (
    AnswerLostError,
    HolderUnreachableError,
    NotHolderError,
    RequestError,
    TargetConnectError,
    TargetRefusedError,
)
from swiftpin.gateway.incoming_request import IncomingRequest

BACKOFF_BASE: Final = 0.02
BACKOFF_CAP: Final = 0.25

ROUTE_MUST_CHANGE: Final = (
    NotHolderError,
    TargetRefusedError,
)
"""Errors after which only another route helps; nothing ran in this attempt."""

NOT_SENT: Final = (
    HolderUnreachableError,
    JournalNotLoadedError,
    TargetConnectError,
)
"""Errors after which the same route may do; nothing ran in this attempt."""


class RetryPolicy:
    """Decides about retries and keeps each service's budget for them."""

    def __init__(self, rng: Random) -> None:
        self._backoff = Backoff(BACKOFF_BASE, BACKOFF_CAP, rng)
        self._budgets_by_service: dict[str, tuple[Profile, RetryBudget]] = {}

    @callback
    def budget(self, service: str, profile: Profile, now: float) -> RetryBudget:
        """Return the service's budget, a new one when its profile changed."""
        known = self._budgets_by_service.get(service)
        if known is not None and known[0] is profile:
            return known[1]
        budget = RetryBudget(profile.retry_ratio, profile.retry_min_per_second, now)
        self._budgets_by_service[service] = (profile, budget)
        return budget

    @callback
    def allows(self, err: RequestError, incoming: IncomingRequest) -> bool:
        """Return whether the request may be sent again after the error.

        A request that is not repeatable is sent again only where this attempt
        was certainly not run.
        """
        if isinstance(err, ROUTE_MUST_CHANGE + NOT_SENT):
            return True
        return incoming.request_class.repeatable and isinstance(err, AnswerLostError)

    @callback
    def needs_other_route(self, err: RequestError) -> bool:
        """Return whether the same route would give the same error."""
        return isinstance(err, ROUTE_MUST_CHANGE)

    @callback
    def delay(self, attempt: int) -> float:
        """Return the seconds to wait after an attempt, counted from 1."""
        return self._backoff.delay(attempt)
