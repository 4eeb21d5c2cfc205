"""Tests of the order of store revisions across restores."""

from __future__ import annotations

import pytest

from swiftpin.model.store_revision import (
    MAX_ERA,
    REVISIONS_PER_ERA,
    era_of,
    make_revision,
    number_of,
)


def test_later_era_is_newer_regardless_of_its_number() -> None:
    """A restored store continues from an older number."""
    assert make_revision(2, 10) > make_revision(1, 40) > make_revision(1, 39)


@pytest.mark.parametrize(
    ("era", "number"), [(0, 0), (0, 7), (3, 0), (MAX_ERA, REVISIONS_PER_ERA - 1)]
)
def test_era_and_number_can_be_read_back(era: int, number: int) -> None:
    """Calls to the store use its own number."""
    revision = make_revision(era, number)
    assert (era_of(revision), number_of(revision)) == (era, number)
    assert revision < 2**63


@pytest.mark.parametrize(
    ("era", "number"), [(-1, 1), (MAX_ERA + 1, 1), (0, -1), (0, REVISIONS_PER_ERA)]
)
def test_number_out_of_range_is_an_error(era: int, number: int) -> None:
    """A larger number would overlap with the next era."""
    with pytest.raises(ValueError, match="out of range"):
        make_revision(era, number)
