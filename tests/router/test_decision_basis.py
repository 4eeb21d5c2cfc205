"""Tests of the log fields with the versions behind a routing decision."""

from __future__ import annotations

import math

import pytest

from swiftpin.router.decision_basis import DecisionBasis


@pytest.mark.parametrize(
    ("key_map", "age", "source", "pairs"),
    [
        (None, math.inf, "none", "key_map=- targets=7 targets_age_ms=inf"),
        ((3, 41), 0.0, "watch", "key_map=3.41 targets=7 targets_age_ms=0"),
        ((3, 41), 0.25, "neighbour", "key_map=3.41 targets=7 targets_age_ms=250"),
    ],
)
def test_log_fields_show_versions_and_age(
    key_map: tuple[int, int] | None, age: float, source: str, pairs: str
) -> None:
    """The age of a target list that was never confirmed is infinite."""
    basis = DecisionBasis(
        key_map=key_map, targets=7, targets_age=age, targets_source=source
    )
    assert basis.format_fields() == f"{pairs} targets_source={source}"
