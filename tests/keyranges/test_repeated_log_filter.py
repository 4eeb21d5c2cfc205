"""Tests of bounded log lines."""

from __future__ import annotations

from swiftpin.keyranges.repeated_log_filter import RepeatedLogFilter


def test_same_news_is_told_again_after_the_interval() -> None:
    """What lasts stays visible, and what changes is told at once."""
    limit = RepeatedLogFilter(1.0)
    assert limit.should_log(10.0, "written", "lost")
    assert not limit.should_log(10.9, "written", "lost")
    assert limit.should_log(10.9, "not sent", "refused")
    assert limit.should_log(11.9, "not sent", "refused")


def test_without_an_interval_only_changes_are_told() -> None:
    """A line for each state, however long it lasts."""
    limit = RepeatedLogFilter()
    assert limit.should_log(10.0, "not sent")
    assert not limit.should_log(99999.0, "not sent")
    assert limit.should_log(99999.0, "unanswered")
