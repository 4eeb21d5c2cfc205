"""Tests of the limiter for one target that names a rate limit."""

from __future__ import annotations

import math

import pytest

from swiftpin.permits.rate_limiter import (
    BURST_TOKENS,
    GRANT_DELAY,
    INITIAL_TOKENS,
    MAX_PERMITS_BEYOND_RATE,
    MAX_RATE_FACTOR,
    WINDOW,
    RateLimiter,
)

TICK = 0.05
UNLIMITED = math.inf


def grant_while_possible(
    limiter: RateLimiter, limit: float, start: float, end: float
) -> list[float]:
    """Grant a permit whenever one is available; return the times."""
    granted_at = []
    for number in range(round((end - start) / TICK)):
        now = start + number * TICK
        while not limiter.time_until_permit(limit, now):
            limiter.record(limit, now)
            granted_at.append(now)
    return granted_at


@pytest.mark.parametrize("limit", [0.2, 1.8, 10.0, 100.0])
def test_permits_follow_the_limit(limit: float) -> None:
    """Guards against too many permits, and against leaving the limit unused."""
    granted = grant_while_possible(RateLimiter(), limit, 0.0, 20.0)
    assert len(granted) >= 0.9 * limit * 20.0
    for start in granted:
        in_window = sum(start <= at < start + WINDOW for at in granted)
        assert in_window <= limit * (WINDOW + GRANT_DELAY) + BURST_TOKENS


def test_permits_from_before_the_limit_count_in_its_first_window() -> None:
    """Failure: the requests right before the limit filled the target's window."""
    limiter = RateLimiter()
    for number in range(40):
        limiter.record(UNLIMITED, number * 0.1)
    granted = grant_while_possible(limiter, 1.8, 4.0, 12.0)
    max_permits = MAX_RATE_FACTOR * 1.8 * WINDOW + MAX_PERMITS_BEYOND_RATE
    for end in granted:
        before = sum(end - WINDOW < number * 0.1 <= end for number in range(40))
        assert before + sum(end - WINDOW < at <= end for at in granted) <= max_permits
    assert granted


def test_lowered_limit_applies_to_saved_tokens() -> None:
    """Failure: tokens saved under the former limit were spent at once."""
    limiter = RateLimiter()
    limiter.time_until_permit(100.0, 0.0)
    limiter.time_until_permit(100.0, 10.0)
    assert len(grant_while_possible(limiter, 0.5, 10.0, 12.0)) <= BURST_TOKENS + 1


def test_tokens_are_dropped_when_another_issuer_may_have_granted_permits() -> None:
    """Failure: two issuers spent the tokens saved in the same period."""
    limiter = RateLimiter()
    limiter.set_period(1.0, 0.0, 1.0)
    limiter.time_until_permit(10.0, 1.0)
    limiter.set_period(9.0, 0.0, 9.0)
    assert len(grant_while_possible(limiter, 10.0, 9.0, 9.05)) == INITIAL_TOKENS


@pytest.mark.parametrize("checked_at", [(7.0,), (7.0, 7.5, 8.9)])
def test_no_tokens_are_saved_before_the_issuer_is_authorized(
    checked_at: tuple[float, ...],
) -> None:
    """Failure: an issuer spent tokens of the time in which another one granted."""
    limiter = RateLimiter()
    for now in checked_at:
        limiter.set_period(9.0, 9.0 - now, now)
        limiter.time_until_permit(10.0, now)
    limiter.set_period(9.0, 0.0, 9.0)
    assert len(grant_while_possible(limiter, 10.0, 9.0, 9.05)) == INITIAL_TOKENS


def test_issuer_without_authority_saves_no_tokens() -> None:
    """Failure: a former issuer had a full bucket when it became the first again."""
    limiter = RateLimiter()
    for now in (1.0, 5.0, 9.0):
        limiter.set_period(None, 0.0, now)
        limiter.time_until_permit(10.0, now)
    assert len(grant_while_possible(limiter, 10.0, 9.0, 9.05)) == INITIAL_TOKENS
