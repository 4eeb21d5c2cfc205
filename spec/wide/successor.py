"""What the successor of a wide group knows under its lease."""

from __future__ import annotations

from typing import Final, NamedTuple

from spec.times import NOT_BEGUN
from spec.wide.target import OWNER

Reports = tuple[int, int, int]
NO_REPORTS: Final[Reports] = (0, 0, 0)


class Successor(NamedTuple):
    """Fields as in `spec.fenced.holder.Holder`, for three possible owners.

    No target restarts and no later holder comes, so the targets' fences tell which
    it fenced, and each of those may acknowledge at any time.
    """

    begun: int
    limit: int
    wait: int
    reports: Reports
    owner: int
    slice_term: int
    served: int
    moves_left: int


NOT_STARTED: Final = Successor(
    begun=0,
    limit=0,
    wait=NOT_BEGUN,
    reports=NO_REPORTS,
    owner=OWNER,
    slice_term=0,
    served=0,
    moves_left=1,
)
