"""Tests that the cooperative model detects the omission of any rule."""

from __future__ import annotations

from dataclasses import fields

import pytest

from spec.check import refute
from spec.cooperative.model import cooperative_group
from spec.cooperative.weakness import CooperativeWeakness
from spec.model_case import ModelCase


@pytest.mark.parametrize("flag", [item.name for item in fields(CooperativeWeakness)])
def test_weakening_is_found(flag: str) -> None:
    """Without the rule, two instances may send at the same time."""
    protocol = cooperative_group(flag, CooperativeWeakness(**{flag: True}))

    result = refute(ModelCase(protocol=protocol, covers=""), "one_sender")

    assert "one_sender" in result.traces_by_invariant
