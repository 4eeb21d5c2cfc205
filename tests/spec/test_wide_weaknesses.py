"""Each weakening of a rule is noticed by the model of a group of five."""

from __future__ import annotations

from dataclasses import fields

import pytest

from spec.check import refute
from spec.model_case import ModelCase
from spec.wide.model import wide_group
from spec.wide.weakness import WideWeakness


@pytest.mark.parametrize("flag", [item.name for item in fields(WideWeakness)])
def test_weakening_is_found(flag: str) -> None:
    """The model has a trace to two targets that hold the slice."""
    protocol = wide_group(flag, WideWeakness(**{flag: True}))

    result = refute(ModelCase(protocol=protocol, covers=""), "one_owner")

    assert "one_owner" in result.traces_by_invariant
