"""What the first holder of a wide group knows."""

from __future__ import annotations

from typing import Final, NamedTuple

from spec.times import GRANT_TTL, HOLDER_LIMIT
from spec.wide.target import OWNER

Acks = tuple[int, int, int, int, int]


class First(NamedTuple):
    """Fields as in `spec.fenced.holder.Holder`, for five targets.

    Acknowledgements of targets that N has not fenced are always fresh: an older one
    would only forbid more.
    """

    acks: Acks
    limit: int
    owner: int
    moves_left: int


AT_START: Final = First(
    acks=(HOLDER_LIMIT,) * 5, limit=GRANT_TTL, owner=OWNER, moves_left=1
)
ENDED: Final = First(acks=(0, 0, 0, 0, 0), limit=0, owner=OWNER, moves_left=0)
