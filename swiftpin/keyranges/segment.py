"""A range of keys and who may hold it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Segment:
    """Keys `first` to `last`, both included."""

    first: int
    last: int
    owner: str
    """Target that has the keys or is to get them."""

    fence: int
    """Fence under which the segment was recorded. It names the segment; each call has a
    fence of its own, taken when it is sent."""

    former_owner: str = ""
    """Target that may still hold the keys; empty when none does."""

    @property
    def width(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1
