"""Limits of targets that all issuers of their permits share."""

from __future__ import annotations

from collections.abc import Callable
import math

from swiftpin.core import callback
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.permits.cold_limit import ColdLimit
from swiftpin.permits.issuer_authority import TAKEOVER_WAIT, IssuerAuthority
from swiftpin.permits.rate_limiter import MIN_LIMIT, RateLimiter
from swiftpin.permits.rate_reports import RateReports


class SharedLimits:
    """Applies the limits of targets while this issuer is authorized for them.

    Permits that issuers grant independently of each other could together exceed a
    limit, so an issuer without authority grants none for limited targets.

    A subject is a target or, for a service without keys, the service. Times are on the
    event loop's clock.
    """

    def __init__(
        self,
        reports: RateReports,
        authority: IssuerAuthority | None,
        suspend_aware_clock: Callable[[], float] = suspend_aware_now,
    ) -> None:
        self._reports = reports
        self._authority = authority
        """Authority of this issuer, None if there are no other issuers."""

        self._suspend_aware_clock = suspend_aware_clock
        self.rate_limited_targets = reports.limited_targets
        """Ids of the targets that currently name a rate limit."""

    @callback
    def rate_limit_of(self, target: str) -> float:
        """Return the maximum rate of a target's permits per second, or infinity."""
        return max(self._reports.limit_of(target), MIN_LIMIT)

    @callback
    def time_until_rate_permit(
        self, subject: str, target: str, limiter: RateLimiter, now: float
    ) -> float:
        """Return the seconds until a target's rate limit allows the next permit."""
        if target not in self.rate_limited_targets:
            return 0.0
        limit = self.rate_limit_of(target)
        if self._authority is None:
            return limiter.time_until_permit(limit, now)
        authority_now = self._suspend_aware_clock()
        period = self._authority.authorized_from(subject)
        limiter.set_period(period, _time_until(period, authority_now), now)
        wait = self._authority.time_until_authorized(subject, authority_now)
        return max(_expected_wait(wait), limiter.time_until_permit(limit, now))

    @callback
    def time_until_cold_permit(
        self, subject: str, cold: ColdLimit, now: float
    ) -> float:
        """Return the seconds until a cold target's rate allows the next permit."""
        if not cold.is_cold(now):
            return 0.0
        if self._authority is None:
            return cold.time_until_permit(now)
        authority_now = self._suspend_aware_clock()
        max_issuers = cold.max_issuers
        period = self._authority.authorized_from(subject, max_issuers=max_issuers)
        cold.set_period(period, _time_until(period, authority_now), now)
        wait = self._authority.time_until_authorized(
            subject, authority_now, max_issuers=max_issuers
        )
        wait = max(_expected_wait(wait), cold.time_until_permit(now))
        return min(wait, cold.remaining(now))


@callback
def _time_until(period: float | None, now: float) -> float:
    """Return the seconds until a period starts, 0 if there is none."""
    return 0.0 if period is None else max(period - now, 0.0)


@callback
def _expected_wait(wait: float) -> float:
    """Return the wait for authority, or the usual one if it is not known."""
    return TAKEOVER_WAIT if math.isinf(wait) else wait


@callback
def limits_of_only_issuer() -> SharedLimits:
    """Return the limits at the only issuer of permits."""
    return SharedLimits(RateReports(), None)
