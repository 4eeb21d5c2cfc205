"""State of a target in the eyes of placement."""

from __future__ import annotations

from enum import StrEnum


class TargetState(StrEnum):
    """Whether a target may own slices.

    `LIVE` and `COLD` may, cold ones with a growing share. `LOST` ones no longer
    serve, `LEAVING` ones still do but shall hand over everything.
    """

    LIVE = "live"
    COLD = "cold"
    LEAVING = "leaving"
    LOST = "lost"

    @property
    def is_usable(self) -> bool:
        """Return whether slices may be given to the target."""
        return self is TargetState.LIVE or self is TargetState.COLD
