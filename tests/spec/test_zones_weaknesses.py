"""Tests that the models of cold targets and zones detect the omission of any rule."""

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
    """Without the rule, a cold target gets too many requests within a second."""
    protocol = cold_permits(flag, ColdWeakness(**{flag: True}))
    result = refute(ModelCase(protocol=protocol, covers=""), "no_crowd")
    assert "no_crowd" in result.traces_by_invariant


@pytest.mark.parametrize("flag", [item.name for item in fields(EvacuationWeakness)])
def test_weakening_sends_to_an_evacuated_zone(flag: str) -> None:
    """Without the rule, a request is sent to the zone after the time limit."""
    protocol = evacuated_zone(flag, EvacuationWeakness(**{flag: True}))
    result = refute(ModelCase(protocol=protocol, covers=""), "nothing_late")
    assert "nothing_late" in result.traces_by_invariant
