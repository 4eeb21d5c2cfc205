"""Planned load of each target."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from swiftpin.keyranges.assignment import Assignment


@dataclass(kw_only=True, slots=True)
class TargetShare:
    """A target's load and keys under the current plan.

    Capacity and load are in requests per second.
    """

    capacity: float
    load: float = 0.0
    width: int = 0
    keys: list[int] = field(default_factory=list)
    """Keys with load, in ascending order."""

    @property
    def utilization(self) -> float:
        """Return the used fraction of the capacity."""
        return self.load / self.capacity


def target_shares(
    assignment: Assignment,
    capacities_by_target: Mapping[str, float],
    rates_by_key: Mapping[int, float],
) -> dict[str, TargetShare]:
    """Return the present load and keys of each target that may own keys."""
    shares = {
        target: TargetShare(capacity=capacity)
        for target, capacity in capacities_by_target.items()
    }
    for segment in assignment.segments:
        share = shares.get(segment.owner)
        if share is not None:
            share.width += segment.width
    for key in sorted(rates_by_key):
        share = shares.get(assignment.segment_of(key).owner)
        if share is not None:
            share.load += rates_by_key[key]
            share.keys.append(key)
    return shares


def mean_utilization(shares: Mapping[str, TargetShare]) -> float:
    """Return the used fraction of the total capacity."""
    capacity = sum(share.capacity for share in shares.values())
    return sum(share.load for share in shares.values()) / capacity
