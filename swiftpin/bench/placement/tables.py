"""The results as tables in Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from swiftpin.bench.placement.report import PlacementReport

_EVENT_COLUMNS = (
    "targets",
    "load",
    "system",
    "event",
    "peak/mean",
    "hottest key",
    "group floor",
    "keys moved",
    "least",
    "moves",
    "least moves",
    "merges",
    "splits",
)
_DECISION_COLUMNS = (
    "targets",
    "scope",
    "decision",
    "slices",
    "runs",
    "median ms",
    "max ms",
    "peak KiB",
    "moves",
)
_GROUP_COLUMNS = (
    "targets",
    "group size",
    "floor",
    "peak/mean",
    "floor after loss",
    "peak after loss",
    "groups above goal",
    "least exports",
    "least exports after loss",
)


def tables(report: PlacementReport) -> str:
    """Return all tables."""
    events = (
        (
            row.targets,
            row.load,
            row.system,
            row.event,
            f"{row.peak_to_mean:.3f}",
            f"{row.key_floor:.2f}",
            _optional(row.group_floor),
            f"{row.keys_moved:.3%}",
            f"{row.keys_least:.3%}",
            _optional(row.moves),
            _optional(row.moves_least),
            _optional(row.merges),
            _optional(row.splits),
        )
        for row in report.events
    )
    decisions = (
        (
            cost.targets,
            cost.scope,
            cost.decision,
            cost.slices,
            cost.runs,
            f"{cost.seconds_median * 1e3:.2f}",
            f"{cost.seconds_max * 1e3:.2f}",
            f"{cost.memory_peak / 1024:.0f}",
            cost.moves,
        )
        for cost in report.decisions
    )
    group_sizes = (
        (
            row.targets,
            row.group_size,
            f"{row.floor:.3f}",
            f"{row.peak_to_mean:.3f}",
            f"{row.floor_after_loss:.3f}",
            f"{row.peak_after_loss:.3f}",
            row.groups_above_goal,
            row.exports,
            row.exports_after_loss,
        )
        for row in report.group_sizes
    )
    parts = (
        _table(_EVENT_COLUMNS, events),
        _table(_DECISION_COLUMNS, decisions),
        _table(_GROUP_COLUMNS, group_sizes),
    )
    return "\n".join(parts)


def _table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return one table."""
    lines = [columns, ["---"] * len(columns), *rows]
    return "".join(f"| {' | '.join(map(str, line))} |\n" for line in lines)


def _optional(value: float | None) -> str:
    """Return the number, or a dash when there is none."""
    match value:
        case None:
            return "-"
        case int():
            return str(value)
        case _:
            return f"{value:.3f}"
