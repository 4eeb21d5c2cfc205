"""Each weakening of a rule is noticed by the model of key ranges."""

from __future__ import annotations

from dataclasses import fields

import pytest

from spec.check import refute
from spec.model_case import ModelCase
from spec.ranges.model import key_range
from spec.ranges.weakness import RangeWeakness


@pytest.mark.parametrize("flag", [item.name for item in fields(RangeWeakness)])
def test_weakening_is_found(flag: str) -> None:
    """The model has a trace to two targets that hold the range."""
    protocol = key_range(flag, RangeWeakness(**{flag: True}))

    result = refute(ModelCase(protocol=protocol, covers=""), "one_owner")

    assert "one_owner" in result.traces_by_invariant
