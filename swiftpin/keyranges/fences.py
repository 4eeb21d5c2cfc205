"""Fences of one service's grants, and numbers of its key maps."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

FENCES_A_TERM: Final = 1_000_000
"""Fences of one term; the next term's are all higher."""

FENCE_RESERVE: Final = FENCES_A_TERM // 10
"""Fences that are left when the next term is asked for. Each grant over a new
connection takes one, 250 a second at most; to begin a term takes one write."""


class Fences:
    """Hands out fences that only rise, within a term and from term to term.

    It outlives the assigner of a service's keys: one that is started again in the same
    term, after a fault or when its service was declared anew, must not use a fence
    twice. A target would take keys under a fence below one that another had.

    A holder whose term has few left begins its next term. Without that its fences would
    run into those of its successor: all targets would refuse what that one grants.
    """

    def __init__(self) -> None:
        self._next = 1
        self._map_number = 0
        self._end = FENCES_A_TERM

    @property
    def next(self) -> int:
        """Return the fence that is taken next."""
        return self._next

    @property
    def is_nearly_spent(self) -> bool:
        """Return whether the term should end soon."""
        return self._end - self._next < FENCE_RESERVE

    @callback
    def begin_term(self, term: int) -> None:
        """Go on with fences above all of the terms before."""
        self._end = (term + 1) * FENCES_A_TERM
        self._next = max(self._next, term * FENCES_A_TERM + 1)

    @callback
    def take(self, count: int = 1) -> int:
        """Return the first of some fences that were never used."""
        first = self._next
        self._next += count
        return first

    @callback
    def allocate_map_number(self) -> int:
        """Return a number for a key map that is above all of the term before.

        Counted by the assigner, one that is started again in its term would begin
        anew, and every instance would take its maps for old ones.
        """
        self._map_number += 1
        return self._map_number
