"""Tests that the model of a group of five targets detects the omission of any rule."""

from __future__ import annotations

from dataclasses import fields

import pytest

from spec.check import refute
from spec.model_case import ModelCase
from spec.wide.model import wide_group
from spec.wide.weakness import WideWeakness


@pytest.mark.parametrize("flag", [item.name for item in fields(WideWeakness)])
def test_weakening_is_found(flag: str) -> None:
    """Without the rule, two targets hold the slice."""
    protocol = wide_group(flag, WideWeakness(**{flag: True}))

    result = refute(ModelCase(protocol=protocol, covers=""), "one_owner")

    assert "one_owner" in result.traces_by_invariant
