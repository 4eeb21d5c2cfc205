"""One decided move."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.placement.move_reason import MoveReason


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """A slice that shall change its owner.

    `source` is None for a slice that had no owner. `standby` is the new standby.
    `cost` is what the move itself costs, in weighted slot-seconds.
    """

    slice_id: int
    source: str | None
    destination: str
    standby: str | None
    reason: MoveReason
    cost: float
