"""One target as placement sees it."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.placement.const import RAMP_FLOOR, RAMP_SECONDS
from swiftpin.ownership.placement.target_state import TargetState


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetView:
    """A declared target and its state; `since` is when the state began, in seconds."""

    spec: TargetSpec
    state: TargetState = TargetState.LIVE
    since: float = 0.0

    def capacity(self, now: float) -> float:
        """Return the slots to reckon with: 0 when unusable, growing while cold."""
        slots = float(max(self.spec.slots, 1))
        match self.state:
            case TargetState.LIVE:
                return slots
            case TargetState.COLD:
                return slots * _ramp(now - self.since)
            case _:
                return 0.0


def _ramp(age: float) -> float:
    """Return the share of its slots that a target cold for `age` seconds gets."""
    risen = min(max(age, 0.0) / RAMP_SECONDS, 1.0)
    return RAMP_FLOOR + (1.0 - RAMP_FLOOR) * risen
