"""Report of the request rate that a target accepts."""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import Final

from swiftpin.core import callback

MAX_REPORT_DELAY: Final = 1.0
"""Maximum seconds for which a report is in transit between two instances. Links that
take longer count as unresponsive."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RateReport:
    """Rate limit that a target named in an answer.

    Times are on the suspend-aware clock of the instance that keeps the report. The
    target named the limit at some time between them.
    """

    limit: float
    """Requests per second from all instances together, infinite if none was named."""

    sent_at: float
    """Time at which the answered request was sent."""

    received_at: float
    """Time at which the answer was received."""

    @property
    def is_limited(self) -> bool:
        """Return whether the target named a limit."""
        return not math.isinf(self.limit)

    @callback
    def describe(self, now: float) -> str:
        """Return the limit and its age, for the log."""
        return f"{self.limit:g}/s named {now - self.received_at:.1f} s ago"


@callback
def merge_reports(current: RateReport | None, other: RateReport) -> RateReport:
    """Return the report to keep for a target.

    Answers arrive in another order than they were created, and the times of a report
    that another instance forwarded are too late by its transit time. Therefore the
    higher of two limits is kept only if it was certainly named later. The result does
    not depend on which report is the current one, so instances that exchange their
    reports agree.
    """
    if current is None:
        return other
    if other.limit == current.limit:
        # Otherwise each forwarding would add its transit time to the report.
        is_later = other.received_at > current.received_at + MAX_REPORT_DELAY
        return other if is_later else current
    lower, higher = sorted((current, other), key=lambda report: report.limit)
    is_higher_later = higher.sent_at >= lower.received_at + MAX_REPORT_DELAY
    return higher if is_higher_later else lower
