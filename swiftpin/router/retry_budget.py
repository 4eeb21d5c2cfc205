"""Retry budget of one service."""

from __future__ import annotations

from collections import deque
from typing import Final

from swiftpin.core import callback
from swiftpin.router.retry_limits import MIN_SAVED_RETRIES, RetryLimits

COUNTING_INTERVALS: Final = 10
"""Number of intervals of a window; requests are counted per interval."""


class RetryBudget:
    """Retries earned by requests, plus a slack.

    A retry is reserved when it is decided on and charged when it is sent, since it may
    wait for a permit until its caller's deadline.
    """

    def __init__(self) -> None:
        self._earned = 0.0
        self._earned_reserved = 0
        self._slack_reserved = 0
        self._slack_sent_at: deque[float] = deque()
        self._counts: deque[tuple[float, int]] = deque()
        self._requests = 0

    @callback
    def record_request(self, limits: RetryLimits, now: float) -> None:
        """Count a request and add what it earns for retries."""
        self._drop_expired(limits, now)
        self._count_in_interval(limits.window / COUNTING_INTERVALS, now)
        self._earned = min(
            self._earned + limits.earned_per_request, self._max_saved(limits)
        )

    @callback
    def reserve(self, limits: RetryLimits, now: float) -> bool:
        """Reserve a retry; return whether one was available."""
        self._drop_expired(limits, now)
        if self._earned >= self._earned_reserved + 1:
            self._earned_reserved += 1
            return True
        # Part of the slack is kept for `MIN_SAVED_RETRIES` while the recent requests
        # allow fewer saved retries.
        slack_for_saving = max(
            MIN_SAVED_RETRIES - limits.max_saved_per_request * self._requests, 0.0
        )
        slack_used = len(self._slack_sent_at) + self._slack_reserved
        if slack_used + 1 > limits.slack - slack_for_saving:
            return False
        self._slack_reserved += 1
        return True

    @callback
    def release(self) -> None:
        """Return a reserved retry to the budget."""
        if self._slack_reserved:
            self._slack_reserved -= 1
        else:
            self._earned_reserved -= 1

    @callback
    def spend(self, now: float) -> None:
        """Count a reserved retry as sent."""
        if self._earned_reserved:
            self._earned_reserved -= 1
            self._earned -= 1
        else:
            self._slack_reserved -= 1
            self._slack_sent_at.append(now)

    @callback
    def _max_saved(self, limits: RetryLimits) -> float:
        """Return the maximum number of earned retries that may be saved."""
        saved = max(limits.max_saved_per_request * self._requests, MIN_SAVED_RETRIES)
        return max(saved, self._earned_reserved)

    @callback
    def _count_in_interval(self, interval: float, now: float) -> None:
        """Count a request in the current interval, which lasts `interval` seconds."""
        if self._counts and now - self._counts[-1][0] < interval:
            interval_start, count = self._counts.pop()
            self._counts.append((interval_start, count + 1))
        else:
            self._counts.append((now, 1))
        self._requests += 1

    @callback
    def _drop_expired(self, limits: RetryLimits, now: float) -> None:
        """Drop counts and slack retries that are older than the window."""
        oldest = now - limits.window
        while self._counts and self._counts[0][0] <= oldest:
            _, count = self._counts.popleft()
            self._requests -= count
        while self._slack_sent_at and self._slack_sent_at[0] <= oldest:
            self._slack_sent_at.popleft()
        self._earned = min(self._earned, self._max_saved(limits))
