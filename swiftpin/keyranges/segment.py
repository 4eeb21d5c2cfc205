"""A range of keys and its owner."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Segment:
    """The keys `first` to `last`, inclusive."""

    first: int
    last: int
    owner: str
    """Target that holds the keys, or will hold them after the move."""

    fence: int
    """Fence under which the segment was recorded. It identifies the segment; calls to
    targets carry other fences, which are allocated when they are sent."""

    former_owner: str = ""
    """Target that may still hold the keys during a move; otherwise empty."""

    @property
    def width(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1
