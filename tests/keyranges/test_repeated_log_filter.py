"""Tests of the suppression of repeated log lines."""

from __future__ import annotations

from swiftpin.keyranges.repeated_log_filter import RepeatedLogFilter


def test_same_content_is_logged_again_after_the_interval() -> None:
    """A lasting state is logged repeatedly, and a change immediately."""
    log_filter = RepeatedLogFilter(1.0)
    assert log_filter.should_log(10.0, "written", "lost")
    assert not log_filter.should_log(10.9, "written", "lost")
    assert log_filter.should_log(10.9, "not sent", "refused")
    assert log_filter.should_log(11.9, "not sent", "refused")


def test_without_an_interval_only_changes_are_logged() -> None:
    """Each state is logged once, regardless of its duration."""
    log_filter = RepeatedLogFilter()
    assert log_filter.should_log(10.0, "not sent")
    assert not log_filter.should_log(99999.0, "not sent")
    assert log_filter.should_log(99999.0, "unanswered")
