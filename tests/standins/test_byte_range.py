"""Tests of range headers."""

from __future__ import annotations

import pytest

from swiftpin.standins.byte_range import parse_range


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (None, (0, 100)),
        ("bytes=10-19", (10, 20)),
        ("bytes=90-200", (90, 100)),
        ("bytes=95-", (95, 100)),
        ("bytes=-5", (95, 100)),
        ("bytes=100-", None),
        ("bytes=0-1,5-6", (0, 100)),
        ("lines=1-2", (0, 100)),
    ],
)
def test_range_header(header: str | None, expected: tuple[int, int] | None) -> None:
    """Parts are clipped to the size; unknown forms mean the whole."""
    part = parse_range(header, 100)
    assert (None if part is None else (part.first, part.end)) == expected
