"""Reception of everything that targets state about themselves in their answers."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.announced_drains import AnnouncedDrains
from swiftpin.model.target import Target
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.permits.rate_report import RateReport
from swiftpin.permits.rate_reports import RateReports
from swiftpin.platform.request_head import AnswerHead

BACKOFF_STATUSES: Final = frozenset(
    {HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS}
)
"""Statuses whose `Retry-After` tells of the target's load. With a redirection, it
concerns a single resource."""


class AnswerListener:
    """Records the statements in each answer of a target, by whichever way it came."""

    def __init__(
        self,
        *,
        rate_reports: RateReports,
        drains: AnnouncedDrains,
        backoffs: TargetBackoffs,
    ) -> None:
        self._rate_reports = rate_reports
        self._drains = drains
        self._backoffs = backoffs

    @callback
    def handle_answer(
        self, target: Target, head: AnswerHead, *, asked_at: float, now: float
    ) -> None:
        """Record the statements in an answer to a request that went to a target.

        `asked_at` is a time before the request was sent; times are suspend-aware.
        """
        if head.instance not in (None, target.name):
            # Another target answers at the address.
            return
        if head.rate_limit is not None:
            report = RateReport(
                limit=head.rate_limit, sent_at=asked_at, received_at=now
            )
            self._rate_reports.add(target.id, report, now, source="answer")
        if head.is_draining:
            self._drains.record_announcement(target.id, now)
        elif head.is_signed:
            self._drains.record_absence(target.id, asked_at)
        if head.status in BACKOFF_STATUSES and head.retry_after:
            self._backoffs.record(target.id, head.retry_after, now)
