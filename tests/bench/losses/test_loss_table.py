"""Tests of the table of lost worth."""

from __future__ import annotations

from collections import Counter

import orjson

from swiftpin.bench.losses.loss_table import PlayedDay, format_table
from swiftpin.bench.losses.report_decoder import decode_day_report
from tests.bench.losses.reports import make_report


def make_day(name: str, worth: float = 0.5, calls: int = 200) -> PlayedDay:
    """Return a played day."""
    encoded = orjson.dumps(make_report(worth, calls))
    return PlayedDay(name=name, report=decode_day_report(encoded))


def row(table: str, title: str) -> list[str]:
    """Return the words of the line that begins with a title."""
    (line,) = [line for line in table.splitlines() if line.strip().startswith(title)]
    return line.replace(title, "", 1).split()


def test_days_stand_side_by_side() -> None:
    """Counts are shared by the instances, so that sizes can be compared."""
    table = format_table([make_day("whole"), make_day("small", 0.25, 50)])
    assert row(table, "worth") == ["0.500", "0.250"]
    assert row(table, "whole day") == ["0.060", "0.060"]
    lines = [line.split() for line in table.splitlines() if "calls" in line]
    assert lines == [["calls", "0.100", "0.100"], ["calls", "20", "5"]]


def test_worst_times_leave_out_those_with_few_requests() -> None:
    """The share of a handful of requests says little."""
    table = format_table([make_day("a")])
    assert row(table, "1 ") == ["0.400", "at", "2"]
    assert row(table, "2 ") == ["0.900", "at", "0"]
    assert row(table, "3 ") == ["-"]


def test_outcomes_are_shown_where_there_are_logs() -> None:
    """A day without logs has no such lines."""
    day = make_day("a")
    assert "outcome" not in format_table([day])
    day.requests_by_outcome.update(Counter(served=3))
    assert row(format_table([day, make_day("b")]), "served") == ["3", "0"]
