"""Every model holds, swept whole."""

from __future__ import annotations

import pytest

from spec.cases import all_cases
from spec.check import check
from spec.model_case import ModelCase


@pytest.mark.parametrize(
    "case", [pytest.param(case, id=case.protocol.name) for case in all_cases()]
)
def test_model_holds(case: ModelCase) -> None:
    """No state violates an invariant, and no state was left out."""
    result = check(case)

    assert result.whole
    assert not result.traces_by_invariant


def test_partial_sweep_does_not_hold() -> None:
    """A sweep that stops early proves nothing."""
    result = check(all_cases()[0], max_states=100)

    assert not result.whole
    assert not result.holds
