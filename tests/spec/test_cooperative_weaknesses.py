"""Each weakening of the rule `cooperative` is noticed by its model."""

from __future__ import annotations

from dataclasses import fields

import pytest

from spec.check import refute
from spec.cooperative.model import cooperative_group
from spec.cooperative.weakness import CooperativeWeakness
from spec.model_case import ModelCase


@pytest.mark.parametrize("flag", [item.name for item in fields(CooperativeWeakness)])
def test_weakening_is_found(flag: str) -> None:
    """The model has a trace to two instances that may send."""
    protocol = cooperative_group(flag, CooperativeWeakness(**{flag: True}))

    result = refute(ModelCase(protocol=protocol, covers=""), "one_sender")

    assert "one_sender" in result.traces_by_invariant
