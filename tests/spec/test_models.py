"""Tests that every model holds in all of its states."""

from __future__ import annotations

import pytest

from spec.cases import all_cases
from spec.check import check
from spec.model_case import ModelCase


@pytest.mark.parametrize(
    "case", [pytest.param(case, id=case.protocol.name) for case in all_cases()]
)
def test_model_holds(case: ModelCase) -> None:
    """Every state is visited and none violates an invariant."""
    result = check(case)

    assert result.is_exhaustive
    assert not result.traces_by_invariant


def test_partial_sweep_does_not_hold() -> None:
    """A check that stops early does not count as a proof."""
    result = check(all_cases()[0], max_states=100)

    assert not result.is_exhaustive
    assert not result.holds
