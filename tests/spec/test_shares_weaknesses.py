"""Tests that the model of shares detects the omission of any rule."""

from __future__ import annotations

from dataclasses import fields

import pytest

from spec.check import refute
from spec.model_case import ModelCase
from spec.shares.model import shared_limit
from spec.shares.weakness import ShareWeakness


@pytest.mark.parametrize("flag", [item.name for item in fields(ShareWeakness)])
def test_weakening_lets_the_fleet_exceed_its_limit(flag: str) -> None:
    """Without the rule, the fleet spends more than the limit in a window."""
    protocol = shared_limit(flag, ShareWeakness(**{flag: True}))
    result = refute(ModelCase(protocol=protocol, covers=""), "within_limit")
    assert "within_limit" in result.traces_by_invariant
