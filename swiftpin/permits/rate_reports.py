"""Rate limits of targets as known to one instance."""

from __future__ import annotations

from collections.abc import Set
import math

from eliot import log_message

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.permits.rate_report import RateReport, merge_reports
from swiftpin.permits.rate_report_messages import (
    decode_rate_report,
    encode_rate_report,
)


class RateReports:
    """Reports of the rate limits of targets, by target id.

    There is no report for a target that never named a limit.
    """

    def __init__(self) -> None:
        self.limited_targets: set[str] = set()
        """Ids of the targets that currently name a limit."""

        self._reports_by_target: dict[str, RateReport] = {}

    @callback
    def report_for(self, target: str) -> RateReport | None:
        """Return the report for a target, None if it never named a limit."""
        return self._reports_by_target.get(target)

    @callback
    def limit_of(self, target: str) -> float:
        """Return the requests per second that a target accepts, or infinity."""
        report = self._reports_by_target.get(target)
        return math.inf if report is None else report.limit

    @callback
    def add(self, target: str, report: RateReport, now: float, *, source: str) -> None:
        """Add a report from an answer of the target or from another instance."""
        current = self._reports_by_target.get(target)
        if current is None and not report.is_limited:
            return
        merged = merge_reports(current, report)
        self._reports_by_target[target] = merged
        if merged.is_limited:
            self.limited_targets.add(target)
        else:
            self.limited_targets.discard(target)
        if current is None or merged.limit != current.limit:
            log_message(
                message_type="rate_limit_changed",
                target=target,
                limit=merged.limit,
                previous=math.inf if current is None else current.limit,
                source=source,
                age=round(now - merged.received_at, 3),
            )

    @callback
    def encode(self, target: str, now: float) -> pb.RateReport | None:
        """Return the report for a target as a message, None if there is none."""
        report = self._reports_by_target.get(target)
        return None if report is None else encode_rate_report(target, report, now)

    @callback
    def encode_limited(self, now: float) -> pb.RateReports | None:
        """Return the reports of all limited targets as a message, None if none is."""
        reports = [
            encode_rate_report(target, self._reports_by_target[target], now)
            for target in self.limited_targets
        ]
        return pb.RateReports(reports=reports) if reports else None

    @callback
    def handle_message(self, message: Item, now: float, *, source: str) -> None:
        """Add the report in a message of another instance, if it contains one."""
        if message.HasField("rate_report"):
            report = message.rate_report
            self.add(report.target, decode_rate_report(report, now), now, source=source)

    @callback
    def retain_targets(self, targets: Set[str]) -> None:
        """Drop the reports for all other targets."""
        for target in self._reports_by_target.keys() - targets:
            del self._reports_by_target[target]
            self.limited_targets.discard(target)
