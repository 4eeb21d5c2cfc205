"""Tests that the model of issuers detects the omission of any rule."""

from __future__ import annotations

from dataclasses import fields

import pytest

from spec.check import check, refute
from spec.issuers.model import issuer_authority
from spec.issuers.weakness import IssuerWeakness
from spec.model_case import ModelCase


@pytest.mark.parametrize("max_issuers", [1, 2])
def test_no_more_issuers_than_allowed_are_authorized(max_issuers: int) -> None:
    """Holds in every reachable state of three instances."""
    protocol = issuer_authority("issuers", IssuerWeakness(), max_issuers)
    result = check(ModelCase(protocol=protocol, covers=""))
    assert result.is_exhaustive
    assert not result.traces_by_invariant


@pytest.mark.parametrize("flag", [item.name for item in fields(IssuerWeakness)])
def test_weakening_authorizes_two_issuers(flag: str) -> None:
    """Without the rule, two issuers grant permits for one target at the same time."""
    protocol = issuer_authority(flag, IssuerWeakness(**{flag: True}), 1)
    result = refute(ModelCase(protocol=protocol, covers=""), "within_limit")
    assert "within_limit" in result.traces_by_invariant
