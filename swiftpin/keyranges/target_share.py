"""Load of one target while moves are planned."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from swiftpin.keyranges.assignment import Assignment


@dataclass(kw_only=True, slots=True)
class TargetShare:
    """One target while a plan is made; loads in requests a second."""

    capacity: float
    load: float = 0.0
    width: int = 0
    keys: list[int] = field(default_factory=list)
    """Keys with load, in order."""

    @property
    def utilization(self) -> float:
        """Return the part of the capacity that is used."""
        return self.load / self.capacity


def target_shares(
    assignment: Assignment,
    capacities_by_target: Mapping[str, float],
    rates_by_key: Mapping[int, float],
) -> dict[str, TargetShare]:
    """Return what each target that may own keys has now."""
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
    """Return the part of all capacity that is used."""
    capacity = sum(share.capacity for share in shares.values())
    return sum(share.load for share in shares.values()) / capacity
