"""Tests of fences."""

from __future__ import annotations

from swiftpin.keyranges.fences import FENCE_RESERVE, FENCES_A_TERM, Fences


def test_assigner_that_starts_again_uses_no_fence_twice() -> None:
    """Symptom: a target took keys under a fence below another's.

    Sequence: the assigner of a service's keys ended and was started again in the same
    term. Cause: each assigner counted its fences from the start of the term.
    """
    fences = Fences()
    fences.begin_term(3)
    first = fences.take(5)
    fences.begin_term(3)
    assert fences.take() == first + 5
    assert first > 3 * FENCES_A_TERM


def test_next_term_is_above_all_before() -> None:
    """Whatever an earlier assigner granted is below."""
    fences = Fences()
    fences.begin_term(1)
    fences.take(10)
    fences.begin_term(2)
    assert fences.next > 2 * FENCES_A_TERM


def test_term_ends_before_its_fences_do() -> None:
    """Symptom: no target took what a successor granted.

    Sequence: a holder took more fences than a term has; its successor's were below.
    Cause: nothing noticed that a term's fences run out.
    """
    fences = Fences()
    fences.begin_term(3)
    assert not fences.is_nearly_spent
    fences.take(FENCES_A_TERM - FENCE_RESERVE)
    assert fences.is_nearly_spent
    fences.begin_term(4)
    assert not fences.is_nearly_spent
