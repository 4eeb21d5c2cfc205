"""Tests that the key range model detects the omission of any rule."""

from __future__ import annotations

from dataclasses import fields

import pytest

from spec.check import refute
from spec.model_case import ModelCase
from spec.ranges.model import key_range
from spec.ranges.weakness import RangeWeakness

INVARIANTS_BY_FLAG = {
    "call_reaches_next_life": "fences_rise",
    "fence_outlives_connection": "fences_rise",
    "successor_renews_recorded_fence": "fences_rise",
}
"""Violated invariant of a weakness if it is not `one_owner`."""


@pytest.mark.parametrize("flag", [item.name for item in fields(RangeWeakness)])
def test_weakening_is_found(flag: str) -> None:
    """Without the rule, the range has two owners or a fence is used twice."""
    protocol = key_range(flag, RangeWeakness(**{flag: True}))
    invariant = INVARIANTS_BY_FLAG.get(flag, "one_owner")

    result = refute(ModelCase(protocol=protocol, covers=""), invariant)

    assert invariant in result.traces_by_invariant
