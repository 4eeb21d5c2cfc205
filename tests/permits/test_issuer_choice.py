"""Tests of the selection of permit issuers."""

from __future__ import annotations

from swiftpin.permits.issuer_choice import (
    MIN_ISSUERS,
    TARGETS_PER_ISSUER,
    choose_issuers,
)


def test_current_issuers_are_kept() -> None:
    """Guards against reassigning targets whenever a new instance joins."""
    cpu_capacities = {f"i{number}": 1.0 for number in range(9)}
    current = ("i7", "i8", "i3")
    chosen = choose_issuers(
        cpu_capacities, current=current, assigner="i0", target_count=3
    )
    assert set(chosen) == set(current)


def test_instances_with_little_cpu_capacity_are_not_issuers() -> None:
    """Guards against late permits in a fleet of unequal machines.

    A tenth of the instances had a fifth of the usual CPU capacity, and targets were
    assigned to issuers by name only.
    """
    cpu_capacities = {f"i{number}": 0.2 if number % 3 else 1.0 for number in range(30)}
    targets = 5 * TARGETS_PER_ISSUER
    chosen = choose_issuers(
        cpu_capacities, current=(), assigner="i1", target_count=targets
    )
    assert len(chosen) == 5
    assert all(cpu_capacities[name] == 1.0 for name in chosen)


def test_assigner_is_no_issuer_if_enough_others_exist() -> None:
    """The assigner is busy with renewing the grants of all targets."""
    cpu_capacities = {f"i{number}": 1.0 for number in range(9)}
    targets = (MIN_ISSUERS + 2) * TARGETS_PER_ISSUER
    chosen = choose_issuers(
        cpu_capacities, current=(), assigner="i0", target_count=targets
    )
    assert "i0" not in chosen
    single = choose_issuers(
        {"i0": 1.0}, current=(), assigner="i0", target_count=targets
    )
    assert single == ["i0"]


def test_no_issuers_without_instances() -> None:
    """Guards against an error when the only instance is stopping."""
    assert choose_issuers({}, current=(), assigner="i0", target_count=1) == []
