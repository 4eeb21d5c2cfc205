"""Rate limits of targets as applied by a permit issuer."""

from __future__ import annotations

from collections.abc import Callable
import math

from swiftpin.core import callback
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.permits.issuer_authority import TAKEOVER_WAIT, IssuerAuthority
from swiftpin.permits.rate_limiter import MIN_LIMIT, RateLimiter
from swiftpin.permits.rate_reports import RateReports


class RateLimits:
    """Applies the reported rate limits while this issuer is the only one.

    Permits that issuers grant independently of each other could together exceed the
    limit, so an issuer that may not be the only one grants none for limited targets.
    """

    def __init__(
        self,
        reports: RateReports,
        authority: IssuerAuthority,
        suspend_aware_clock: Callable[[], float] = suspend_aware_now,
    ) -> None:
        self._reports = reports
        self._authority = authority
        self._suspend_aware_clock = suspend_aware_clock

    @callback
    def limit_of(self, target: str) -> float:
        """Return the maximum rate of a target's permits per second, or infinity."""
        return max(self._reports.limit_of(target), MIN_LIMIT)

    @callback
    def is_limited(self, target: str) -> bool:
        """Return whether a target names a limit."""
        return not math.isinf(self._reports.limit_of(target))

    @callback
    def time_until_permit(
        self, subject: str, target: str, limiter: RateLimiter, now: float
    ) -> float:
        """Return the seconds until a target's next permit may be granted.

        `subject` is the target or, for a service without keys, the service. `now` is on
        the event loop's clock. While this issuer is not known to be the only one, the
        result is the time that a change of issuers usually takes.
        """
        limit = self.limit_of(target)
        if math.isinf(limit):
            return 0.0
        limiter.set_authorized_from(self._authority.authorized_from(subject), now)
        wait = self._authority.time_until_authorized(
            subject, self._suspend_aware_clock()
        )
        if math.isinf(wait):
            wait = TAKEOVER_WAIT
        return max(wait, limiter.time_until_permit(limit, now))


@callback
def no_rate_limits() -> RateLimits:
    """Return rate limits for targets that never name one."""
    return RateLimits(RateReports(), IssuerAuthority(""))
