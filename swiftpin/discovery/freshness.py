"""How old what is known of the targets may be."""

from __future__ import annotations

from enum import Enum
import math

from swiftpin.core import callback


class UpdateSource(Enum):
    """Who told what is known."""

    NONE = "none"
    LIST = "store list"
    WATCH = "watch"
    NEIGHBOUR = "neighbour"


class Freshness:
    """The last time at which what is known was certainly all that there was."""

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.source = UpdateSource.NONE

    @callback
    def confirm(self, at: float, source: UpdateSource) -> None:
        """Note that nothing else had happened until a time."""
        if at > self.confirmed_at:
            self.confirmed_at = at
            self.source = source

    @callback
    def age(self, now: float) -> float:
        """Return for how many seconds something may have happened unseen."""
        return max(now - self.confirmed_at, 0.0)

    @callback
    def unseen_since(self, now: float) -> float:
        """Return since when something that is learnt only now may have been so.

        Counted from when it is learnt, a target that left while nothing was heard would
        get requests for longer than it said that it takes them.
        """
        if math.isinf(self.confirmed_at):
            return now
        return min(now, self.confirmed_at)
