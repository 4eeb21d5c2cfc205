"""Each weakening of a rule is noticed by the models of cold targets and zones."""

from __future__ import annotations

from dataclasses import fields

import pytest

from spec.check import refute
from spec.model_case import ModelCase
from spec.zones.cold import cold_permits
from spec.zones.evacuation import evacuated_zone
from spec.zones.weakness import ColdWeakness, EvacuationWeakness


@pytest.mark.parametrize("flag", [item.name for item in fields(ColdWeakness)])
def test_weakening_lets_a_crowd_reach_a_cold_target(flag: str) -> None:
    """The model has a trace to more requests within a second than are allowed."""
    protocol = cold_permits(flag, ColdWeakness(**{flag: True}))
    result = refute(ModelCase(protocol=protocol, covers=""), "no_crowd")
    assert "no_crowd" in result.traces_by_invariant


@pytest.mark.parametrize("flag", [item.name for item in fields(EvacuationWeakness)])
def test_weakening_sends_to_an_evacuated_zone(flag: str) -> None:
    """The model has a trace to a request after the bound."""
    protocol = evacuated_zone(flag, EvacuationWeakness(**{flag: True}))
    result = refute(ModelCase(protocol=protocol, covers=""), "nothing_late")
    assert "nothing_late" in result.traces_by_invariant
