"""Tests of the rate limit for log lines."""

from __future__ import annotations

from swiftpin.helpers.line_rate_limiter import LineRateLimiter


def test_lines_above_the_limit_are_suppressed_and_counted() -> None:
    """The limit applies per second, and suppressed lines are counted."""
    limiter = LineRateLimiter(3)
    assert [limiter.allow(5.0 + number / 10) for number in range(5)] == [
        True,
        True,
        True,
        False,
        False,
    ]
    assert limiter.allow(6.0)
    assert limiter.take_suppressed_count() == 2
    assert limiter.take_suppressed_count() == 0


def test_bytes_and_shares_are_limited_too() -> None:
    """The byte limit applies too, and a share of it can be reserved."""
    limiter = LineRateLimiter(100, max_bytes=1000)
    assert limiter.allow(5.0, 700, share=0.75)
    assert not limiter.allow(5.1, 100, share=0.75)
    assert limiter.allow(5.2, 300)
    assert not limiter.allow(5.3, 1)
    assert limiter.allow(6.0, 1)
    assert limiter.suppressed == 2
