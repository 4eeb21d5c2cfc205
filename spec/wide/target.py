"""A target of a wide group."""

from __future__ import annotations

from typing import Final, NamedTuple

NAMES: Final = ("T", "S", "M", "a witness", "a witness")
OWNER: Final = 0
"""T, the owner in the record."""

OWNERS: Final = 3
"""T, S and M may own the slice; U and V only count for majorities."""

MAJORITY: Final = 3


class WideTarget(NamedTuple):
    """`fence` is the highest lease known, `held` the ticks left of its grant."""

    fence: int
    held: int
    slice_term: int
