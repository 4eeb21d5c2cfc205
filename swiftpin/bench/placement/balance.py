"""Measures of imbalance and the bounds that no decision can beat."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

# The goal: peak over mean load of the targets.
GOAL: Final = 1.15


def peak_to_mean(load_by_target: Mapping[str, float]) -> float:
    """Return the highest load over the mean."""
    loads = load_by_target.values()
    return max(loads) * len(loads) / sum(loads)


def summed(unit_loads_by_target: Mapping[str, Iterable[float]]) -> dict[str, float]:
    """Return each target's load."""
    return {target: sum(loads) for target, loads in unit_loads_by_target.items()}


def units_above(loads: Iterable[float], excess: float) -> int:
    """Return how many units, the heaviest first, make up the excess."""
    count = 0
    for load in sorted(loads, reverse=True):
        if excess <= 1e-9:
            break
        excess -= load
        count += 1
    return count


def group_floor(
    unit_loads_by_group: Mapping[int, Iterable[float]], live_by_group: Mapping[int, int]
) -> float:
    """Return the peak over mean that remains if every group were even in itself."""
    totals = {group: sum(loads) for group, loads in unit_loads_by_group.items()}
    mean = sum(totals.values()) / sum(live_by_group.values())
    return max(
        total / live_by_group[group] / mean
        for group, total in totals.items()
        if live_by_group[group]
    )
