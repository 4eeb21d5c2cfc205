"""How much ownership changed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveCount:
    """Slices and single keys that changed owner, and keys split out in place.

    `merges` are keys that went back to the owner of their slice to end an exception.
    """

    slices: int = 0
    keys: int = 0
    merges: int = 0
    splits: int = 0

    @property
    def moves(self) -> int:
        """Return the number of moves, whole slices and single keys alike."""
        return self.slices + self.keys + self.merges

    def __add__(self, other: MoveCount) -> MoveCount:
        """Return the sum."""
        return MoveCount(
            slices=self.slices + other.slices,
            keys=self.keys + other.keys,
            merges=self.merges + other.merges,
            splits=self.splits + other.splits,
        )
