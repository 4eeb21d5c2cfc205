"""Each weakening of a rule is noticed by the model of shares."""

from __future__ import annotations

from dataclasses import fields

import pytest

from spec.check import refute
from spec.model_case import ModelCase
from spec.shares.model import shared_limit
from spec.shares.weakness import ShareWeakness


@pytest.mark.parametrize("flag", [item.name for item in fields(ShareWeakness)])
def test_weakening_lets_the_fleet_exceed_its_limit(flag: str) -> None:
    """The model has a trace to a window in which more than the limit was spent."""
    protocol = shared_limit(flag, ShareWeakness(**{flag: True}))
    result = refute(ModelCase(protocol=protocol, covers=""), "within_limit")
    assert "within_limit" in result.traces_by_invariant
