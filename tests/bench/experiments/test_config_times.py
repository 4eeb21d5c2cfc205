"""Tests of the times until changes are in force."""

from __future__ import annotations

import pytest

from swiftpin.bench.experiments.config_accepted import AcceptedChange
from swiftpin.bench.experiments.config_adoption import Adoption
from swiftpin.bench.experiments.config_times import in_force_times

LABEL = "profile/desk"


@pytest.fixture
def change() -> AcceptedChange:
    """Return a change of generation 2, begun at 9 and accepted at 10."""
    return AcceptedChange(
        label=LABEL,
        generation=2,
        writer="a",
        began_at=9.0,
        accepted_at=10.0,
        read_back=False,
    )


def adoption(generation: int, at: float, label: str = LABEL) -> Adoption:
    """Return an adoption."""
    return Adoption(label=label, generation=generation, at=at)


def test_times_are_from_the_acceptance_to_the_last_instance(
    change: AcceptedChange,
) -> None:
    """The last instance decides when a change is in force everywhere."""
    times = in_force_times(
        [change], {"gw-1": [adoption(2, 10.1)], "gw-2": [adoption(2, 10.5)]}
    )
    assert times.instance_p50 == pytest.approx(0.1)
    assert times.everywhere_max == pytest.approx(0.5)
    assert times.from_write_max == pytest.approx(1.5)
    assert times.missing == 0


def test_newer_generation_counts(change: AcceptedChange) -> None:
    """What replaced a change before it came is in force in its place."""
    times = in_force_times(
        [change], {"gw-1": [adoption(1, 9.5), adoption(3, 10.2), adoption(4, 12.0)]}
    )
    assert times.everywhere_max == pytest.approx(0.2)


def test_adoption_before_the_answer_counts_as_no_time(change: AcceptedChange) -> None:
    """News may be faster than the store's answer to the operator."""
    times = in_force_times([change], {"gw-1": [adoption(2, 9.9)]})
    assert times.everywhere_max == 0.0


def test_change_that_never_came_is_missing(change: AcceptedChange) -> None:
    """Other declarations and older generations don't count."""
    times = in_force_times(
        [change], {"gw-1": [adoption(1, 9.0), adoption(7, 10.0, "profile/other")]}
    )
    assert times.missing == 1
    assert times.everywhere_max == 0.0
