"""Tests of the choice of the instances that hand out permits."""

from __future__ import annotations

from swiftpin.permits.issuer_choice import (
    MIN_ISSUERS,
    TARGETS_PER_ISSUER,
    choose_issuers,
)


def test_present_issuers_stay() -> None:
    """A change of the list moves few targets, so a newcomer replaces nobody."""
    strengths = {f"i{number}": 1.0 for number in range(9)}
    present = ("i7", "i8", "i3")
    chosen = choose_issuers(strengths, current=present, assigner="i0", target_count=3)
    assert set(chosen) == set(present)


def test_weak_instances_hand_out_nothing_where_strong_ones_do() -> None:
    """Symptom: permits came late in a fleet of unequal machines.

    Sequence: a tenth of the instances had a fifth of the usual strength. Cause: targets
    were dealt out by name alone.
    """
    strengths = {f"i{number}": 0.2 if number % 3 else 1.0 for number in range(30)}
    targets = 5 * TARGETS_PER_ISSUER
    chosen = choose_issuers(strengths, current=(), assigner="i1", target_count=targets)
    assert len(chosen) == 5
    assert all(strengths[name] == 1.0 for name in chosen)


def test_assigner_is_spared_where_others_are_enough() -> None:
    """It renews the grants of all targets."""
    strengths = {f"i{number}": 1.0 for number in range(9)}
    targets = (MIN_ISSUERS + 2) * TARGETS_PER_ISSUER
    chosen = choose_issuers(strengths, current=(), assigner="i0", target_count=targets)
    assert "i0" not in chosen
    few = choose_issuers({"i0": 1.0}, current=(), assigner="i0", target_count=targets)
    assert few == ["i0"]


def test_no_instances_no_issuers() -> None:
    """A stopping instance that is alone names nobody."""
    assert choose_issuers({}, current=(), assigner="i0", target_count=1) == []
