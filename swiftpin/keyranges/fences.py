"""Allocation of fences and key map numbers of a service."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

FENCES_PER_TERM: Final = 1_000_000
"""Fences per term; all fences of the next term are higher."""

FENCE_RESERVE: Final = FENCES_PER_TERM // 10
"""Number of remaining fences at which the next term is requested. Each grant over a new
connection uses one, at most 250 per second; beginning a term takes one write."""


class Fences:
    """Allocates fences, which increase within a term and from term to term.

    It outlives the assigner of a service's keys. An assigner that is restarted in the
    same term, after an error or because its service was removed and declared again,
    must not reuse a fence: a target could then accept keys under a fence that is lower
    than the fence of another target that had them before.

    A lease holder that is about to run out of fences begins its next term. Otherwise
    its fences would overlap with those of its successor, and all targets would refuse
    the successor's grants.
    """

    def __init__(self) -> None:
        self._next = 1
        self._map_number = 0
        self._end = FENCES_PER_TERM

    @property
    def next_fence(self) -> int:
        """Return the next fence to be allocated."""
        return self._next

    @property
    def is_nearly_exhausted(self) -> bool:
        """Return whether the next term should begin soon."""
        return self._end - self._next < FENCE_RESERVE

    @callback
    def begin_term(self, term: int) -> None:
        """Continue with fences above those of all earlier terms."""
        self._end = (term + 1) * FENCES_PER_TERM
        self._next = max(self._next, term * FENCES_PER_TERM + 1)

    @callback
    def allocate(self, count: int = 1) -> int:
        """Allocate consecutive fences and return the first one."""
        first = self._next
        self._next += count
        return first

    @callback
    def allocate_map_number(self) -> int:
        """Return a key map number that is higher than all earlier ones.

        The assigner can't count them itself: if it were restarted in the same term, it
        would start from 1 again, and all instances would ignore its maps as outdated.
        """
        self._map_number += 1
        return self._map_number
