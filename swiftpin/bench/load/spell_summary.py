"""Summary of unserved times."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

PERCENT: Final = 100
MEDIAN: Final = 50.0
TAIL: Final = 99.0


def percentile(values: list[float], percent: float) -> float:
    """Return the nearest-rank percentile of the values, 0 when there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = int(-(-percent * len(ordered) // PERCENT))
    return ordered[max(rank, 1) - 1]


@dataclass(frozen=True, kw_only=True, slots=True)
class SpellSummary:
    """Unserved time of keys, in seconds.

    `keys` had at least one spell; the percentiles and `max` are over the longest
    spell of each such key, `total` sums all spells of all keys.
    """

    keys: int
    p50: float
    p99: float
    max: float
    total: float


def summarize_spells(spells_by_key: dict[str, list[float]]) -> SpellSummary:
    """Return the summary of spells in seconds by key."""
    longest = [max(spells) for spells in spells_by_key.values()]
    return SpellSummary(
        keys=len(longest),
        p50=percentile(longest, MEDIAN),
        p99=percentile(longest, TAIL),
        max=max(longest, default=0.0),
        total=sum(sum(spells) for spells in spells_by_key.values()),
    )
