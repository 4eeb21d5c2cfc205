"""Time during which a target owned a slice."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerInterval:
    """One target's ownership of a slice, in monotonic seconds.

    `end` is infinite when the target still owned the slice at the trace's end.
    """

    service: str
    slice_id: int
    target: str
    boot_id: str
    start: float
    end: float

    def overlaps(self, other: OwnerInterval) -> bool:
        """Return whether there is a time in both."""
        return self.start < other.end and other.start < self.end

    def __str__(self) -> str:
        return f"{self.target}/{self.boot_id}[{self.start:.6f},{self.end:.6f}]"
