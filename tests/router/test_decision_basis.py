"""Tests of the pairs that tell what a request was decided by."""

from __future__ import annotations

import pytest

from swiftpin.router.decision_basis import DecisionBasis


@pytest.mark.parametrize(
    ("basis", "pairs"),
    [
        (DecisionBasis(key_map=None, targets=7), "key_map=- targets=7"),
        (DecisionBasis(key_map=(3, 41), targets=7), "key_map=3.41 targets=7"),
        (
            DecisionBasis(
                key_map=(3, 41),
                targets=7,
                targets_age=0.25,
                targets_source="neighbour",
            ),
            "key_map=3.41 targets=7 targets_age_ms=250 targets_source=neighbour",
        ),
    ],
)
def test_pairs_tell_what_is_known(basis: DecisionBasis, pairs: str) -> None:
    """What is not known is left out."""
    assert basis.pairs() == pairs
