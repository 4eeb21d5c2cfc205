"""Answer of a target that accepted a fence."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.targets.held_slice import HeldSlice


@dataclass(frozen=True, kw_only=True, slots=True)
class FenceReply:
    """The target's start, its clock (seconds) and what it holds of the group."""

    boot_id: str
    clock: float
    slices_by_id: dict[int, HeldSlice] = field(default_factory=dict)
