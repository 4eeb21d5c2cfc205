"""Tests of the reports of targets' rate limits."""

from __future__ import annotations

import math

import pytest

from swiftpin.permits.rate_report import MAX_REPORT_DELAY, RateReport, merge_reports
from swiftpin.permits.rate_reports import RateReports


def report(limit: float, sent_at: float, received_at: float) -> RateReport:
    """Return a report."""
    return RateReport(limit=limit, sent_at=sent_at, received_at=received_at)


KNOWN = report(2.0, 10.0, 10.2)


def test_lower_limit_replaces_a_higher_one_at_once() -> None:
    """Guards against using a former, higher limit."""
    other = report(1.0, 10.1, 10.15)
    assert merge_reports(KNOWN, other) is other


@pytest.mark.parametrize("limit", [5.0, math.inf])
def test_higher_limit_replaces_a_lower_one_only_if_named_later(limit: float) -> None:
    """Failure: an answer from before the limit arrived late and withdrew it."""
    earlier = report(limit, 9.9, 10.9)
    assert merge_reports(KNOWN, earlier) is KNOWN
    later = report(limit, KNOWN.received_at + MAX_REPORT_DELAY, 11.3)
    assert merge_reports(KNOWN, later) is later


@pytest.mark.parametrize("sent_at", [10.0, 10.5, 11.3])
def test_instances_that_exchange_reports_agree(sent_at: float) -> None:
    """Failure: an issuer and a requesting instance kept different limits for good.

    The instance used no permits that were granted without the limit, the issuer granted
    no others, and no answer could settle it.
    """
    other = report(math.inf, sent_at, sent_at + 0.1)
    assert merge_reports(KNOWN, other) is merge_reports(other, KNOWN)


def test_outdated_lower_limit_is_ignored() -> None:
    """Guards against a withdrawn limit that other instances still report."""
    withdrawn = report(math.inf, 12.0, 12.1)
    assert merge_reports(withdrawn, KNOWN) is withdrawn


def test_forwarded_reports_do_not_seem_newer_and_newer() -> None:
    """Failure: a limit was never withdrawn because its reports went back and forth."""
    forwarded = report(2.0, 10.1, 10.3)
    assert merge_reports(KNOWN, forwarded) is KNOWN
    newer = report(2.0, 13.0, 13.1)
    assert merge_reports(KNOWN, newer) is newer


def test_targets_without_a_limit_have_no_report() -> None:
    """Only targets that named a limit, or withdrew it, take memory."""
    reports = RateReports()
    reports.add("a", report(math.inf, 1.0, 1.1), 1.1, source="answer")
    assert reports.report_for("a") is None
    reports.add("a", KNOWN, 10.2, source="answer")
    reports.add("b", KNOWN, 10.2, source="answer")
    assert reports.limit_of("a") == KNOWN.limit
    reports.add("a", report(math.inf, 12.0, 12.1), 12.1, source="answer")
    assert reports.limit_of("a") == math.inf
    assert reports.limited_targets == {"b"}
    reports.retain_targets({"a"})
    assert reports.report_for("b") is None
    assert not reports.limited_targets
