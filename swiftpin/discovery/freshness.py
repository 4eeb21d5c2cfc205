"""Age of the known state of the targets."""

from __future__ import annotations

from enum import Enum
import math

from swiftpin.core import callback


class UpdateSource(Enum):
    """Source of the known state."""

    NONE = "none"
    LIST = "store list"
    WATCH = "watch"
    NEIGHBOUR = "neighbour"


class Freshness:
    """Last time at which the known state was confirmed to be complete."""

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.source = UpdateSource.NONE

    @callback
    def confirm(self, at: float, source: UpdateSource) -> None:
        """Record that a source confirmed the state as complete up to a time."""
        if at > self.confirmed_at:
            self.confirmed_at = at
            self.source = source

    @callback
    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        return max(now - self.confirmed_at, 0.0)

    @callback
    def earliest_change(self, now: float) -> float:
        """Return the earliest time at which a change detected now may have occurred.

        If the drain time of a target that left unnoticed were counted from the
        detection, the target would get requests for longer than it accepts them.
        """
        if math.isinf(self.confirmed_at):
            return now
        return min(now, self.confirmed_at)
