"""Share of the instances that may call a target."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

HORIZON: Final = 2.0
"""Seconds within which a move of keys should pay off. A shorter back-off period reduces
a target's capacity only in part."""

MIN_SHARE: Final = 0.1
"""Minimum share. A target that appears to be unusable still keeps some keys; otherwise
its recovery would go undetected."""


class BackoffShares:
    """Back-off periods that targets asked instances for, as reported by these.

    An instance reports a period when it begins and has at most one for each target.
    """

    def __init__(self) -> None:
        self._ends_by_target: dict[str, list[float]] = {}

    @callback
    def add(self, target: str, seconds: float, now: float) -> None:
        """Add a period of an instance that begins now."""
        self._ends_by_target.setdefault(target, []).append(now + seconds)

    @callback
    def available_share(self, target: str, members: int, now: float) -> float:
        """Return the share of the instances that may call a target soon, on average."""
        ends = self._ends_by_target.get(target)
        if not ends:
            return 1.0
        unavailable = sum(min(max(end - now, 0.0), HORIZON) for end in ends) / HORIZON
        return max(1.0 - unavailable / members, MIN_SHARE)

    @callback
    def prune(self, now: float) -> None:
        """Drop the periods that have ended."""
        self._ends_by_target = {
            target: running
            for target, ends in self._ends_by_target.items()
            if (running := [end for end in ends if now < end])
        }
