"""Table of the worth that played days lost, one column a day."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

from swiftpin.bench.losses.day_report import DayReport, RequestGroup

LEAST_REQUESTS: Final = 50
"""Requests of a time below which its share says little."""

WORST_WINDOWS: Final = 4

LEAST_WORTH: Final = 0.0005
"""Worth below which a price is left out where all days are below it."""

NONE: Final = "-"


@dataclass(frozen=True, kw_only=True, slots=True)
class PlayedDay:
    """A day's report, and what its logs told."""

    name: str
    report: DayReport
    requests_by_outcome: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A line of the table: a title alone, or a figure a day."""

    title: str
    cells: tuple[str, ...] = ()


def format_table(days: Sequence[PlayedDay]) -> str:
    """Return the table as text."""
    rows = list(make_rows(days))
    width = max(len(row.title) for row in rows)
    widths = [
        max([len(row.cells[column]) for row in rows if row.cells])
        for column in range(len(days))
    ]
    lines = []
    for row in rows:
        cells = zip(row.cells, widths, strict=False)
        texts = [row.title.ljust(width), *(cell.rjust(size) for cell, size in cells)]
        lines.append("  ".join(texts).rstrip())
    return "\n".join(lines)


def make_rows(days: Sequence[PlayedDay]) -> Iterator[Row]:
    """Return the lines of the table."""
    reports = [day.report for day in days]
    yield Row(title="", cells=tuple(day.name for day in days))
    yield _figures("worth", [report.worth for report in reports])
    yield Row(
        title="rules broken",
        cells=tuple(_rules(report) for report in reports),
    )
    yield Row(title="Not earned")
    yield from _part_rows(reports)
    yield Row(title="Charged")
    yield from _price_rows(reports)
    yield Row(title="Earned by kind of request")
    yield from _kind_rows(reports)
    yield Row(title="Worst times: earned, from second")
    yield from _window_rows(reports)
    yield Row(title="An instance")
    yield _figures("  peak memory, MB", [report.peak_memory for report in reports])
    yield _figures("  cores in the mean", [report.mean_cores for report in reports])
    yield from _amounts_an_instance(reports)
    yield Row(title="Tries by their end")
    yield from _count_rows([Counter(report.tries_by_end) for report in reports])
    if any(day.requests_by_outcome for day in days):
        yield Row(title="Requests by outcome, from the logs")
        yield from _count_rows([day.requests_by_outcome for day in days])


def _figures(title: str, values: Sequence[float | None], shape: str = ".3f") -> Row:
    """Return a line of numbers."""
    cells = (NONE if value is None else format(value, shape) for value in values)
    return Row(title=title, cells=tuple(cells))


def _rules(report: DayReport) -> str:
    """Return the rules that were broken, and how often."""
    broken = report.broken_by_rule.items()
    return ", ".join(f"{rule} {count}" for rule, count in broken) or NONE


def _names(groups: Sequence[Sequence[str]]) -> list[str]:
    """Return all names in the order in which they first come."""
    return list(dict.fromkeys(name for names in groups for name in names))


def _part_rows(reports: Sequence[DayReport]) -> Iterator[Row]:
    """Return what each part of the worth lacked."""
    lost = [{part.name: part.lost for part in report.parts} for report in reports]
    for name in _names([list(parts) for parts in lost]):
        yield _figures(f"  {name}", [parts.get(name) for parts in lost])


def _price_rows(reports: Sequence[DayReport]) -> Iterator[Row]:
    """Return the prices, dearest first."""
    worth = [{price.name: price.worth for price in report.prices} for report in reports]
    names = _names([list(prices) for prices in worth])
    dearest = {name: max(prices.get(name, 0.0) for prices in worth) for name in names}
    for name in sorted(names, key=lambda name: -dearest[name]):
        if dearest[name] >= LEAST_WORTH:
            yield _figures(f"  {name}", [prices.get(name) for prices in worth])
    yield _figures("  all", [sum(prices.values()) for prices in worth])


def _kind_rows(reports: Sequence[DayReport]) -> Iterator[Row]:
    """Return what was earned of each kind of request, and how the rest ended."""
    kinds = [{kind.name: kind for kind in report.kinds} for report in reports]
    for name in _names([list(by_name) for by_name in kinds]):
        cells = tuple(_group_text(by_name.get(name)) for by_name in kinds)
        yield Row(title=f"  {name}", cells=cells)


def _group_text(group: RequestGroup | None) -> str:
    """Return the share earned, and the counts of what was late, refused or failed."""
    if group is None:
        return NONE
    ends = f"{group.late} late, {group.refused} refused, {group.failed} failed"
    return f"{group.earned:.3f} ({ends} of {group.asked})"


def _window_rows(reports: Sequence[DayReport]) -> Iterator[Row]:
    """Return the times in which least was earned."""
    worst = [
        sorted(
            (window for window in report.windows if window.asked >= LEAST_REQUESTS),
            key=lambda window: window.earned,
        )
        for report in reports
    ]
    for rank in range(WORST_WINDOWS):
        cells = tuple(
            f"{windows[rank].earned:.3f} at {windows[rank].name}"
            if rank < len(windows)
            else NONE
            for windows in worst
        )
        yield Row(title=f"  {rank + 1}", cells=cells)


def _amounts_an_instance(reports: Sequence[DayReport]) -> Iterator[Row]:
    """Return the charged amounts, shared by the instances."""
    amounts = [
        {price.name: price.amount / report.instances for price in report.prices}
        for report in reports
    ]
    for name in _names([list(by_name) for by_name in amounts]):
        values = [by_name.get(name) for by_name in amounts]
        if any(values):
            yield _figures(f"  {name}", values, ".3g")


def _count_rows(counts: Sequence[Counter[str]]) -> Iterator[Row]:
    """Return counts, largest first."""
    total = sum(counts, Counter[str]())
    for name, _ in total.most_common():
        yield Row(title=f"  {name}", cells=tuple(str(by[name]) for by in counts))
