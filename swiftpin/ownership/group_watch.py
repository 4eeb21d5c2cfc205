"""What an instance remembers of a group that another one holds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class GroupWatch:
    """Monotonic times in seconds; changes as the group is watched.

    `term` is the term that `heard_at`, the last sign of life of its holder, is about.
    `absent_since` is when the group was first seen without a record, `failing_since`
    when its holder and successor were first found silent by a third instance,
    `tried_at` when this instance last tried to take it over.
    """

    term: int = 0
    heard_at: float = 0.0
    acknowledged_at: float = 0.0
    absent_since: float | None = None
    failing_since: float | None = None
    probed_at: float = 0.0
    tried_at: float = 0.0
