"""Tests of the allocation of fences."""

from __future__ import annotations

from swiftpin.keyranges.fences import FENCE_RESERVE, FENCES_PER_TERM, Fences


def test_restarted_assigner_reuses_no_fence() -> None:
    """A target must not accept keys under a fence lower than another target's.

    The assigner of a service's keys may be restarted in the same term. The new assigner
    must not count its fences from the start of the term again.
    """
    fences = Fences()
    fences.begin_term(3)
    first = fences.allocate(5)
    fences.begin_term(3)
    assert fences.allocate() == first + 5
    assert first > 3 * FENCES_PER_TERM


def test_fences_of_next_term_are_higher() -> None:
    """All grants of earlier assigners have lower fences."""
    fences = Fences()
    fences.begin_term(1)
    fences.allocate(10)
    fences.begin_term(2)
    assert fences.next_fence > 2 * FENCES_PER_TERM


def test_next_term_is_requested_before_fences_run_out() -> None:
    """Targets must not refuse the grants of a successor.

    If a lease holder used more fences than a term has, its successor's fences would be
    lower.
    """
    fences = Fences()
    fences.begin_term(3)
    assert not fences.is_nearly_exhausted
    fences.allocate(FENCES_PER_TERM - FENCE_RESERVE)
    assert fences.is_nearly_exhausted
    fences.begin_term(4)
    assert not fences.is_nearly_exhausted
