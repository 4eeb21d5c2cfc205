"""A target of a fenced group."""

from __future__ import annotations

from typing import Final, NamedTuple

OWNER: Final = 0
"""T, the first owner of the one slice."""

STANDBY: Final = 1
"""S, which takes the slice when T is lost."""

THIRD: Final = 2
"""M, which never owns the slice and only counts for majorities."""

NAMES: Final = "TSM"
UNFENCED: Final = -1


class Target(NamedTuple):
    """`fence` is the highest lease known, `held` the ticks left of its grant."""

    fence: int
    held: int
    slice_term: int


FRESH: Final = Target(UNFENCED, 0, 0)
"""A target that has just started."""
