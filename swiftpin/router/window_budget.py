"""Limit of the second sends to one service."""

from __future__ import annotations

from collections import deque
from typing import Final

from swiftpin.core import callback

SHARE: Final = 0.8
"""Part of the allowance that is used: instances count in windows of their own, and
callers are spread over them unevenly."""

STEPS: Final = 10
"""Parts of a window in which is counted."""


class WindowBudget:
    """Counts first and second sends of the last window, as one of `instances`.

    Every instance keeps to its part, so that their sum keeps to the whole without a
    message between them: a ratio of the requests that it saw, and an even share of
    the slack.
    """

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._step = window / STEPS
        self._counts: deque[tuple[int, int, int]] = deque()
        self._firsts = 0
        self._seconds = 0

    @callback
    def record_first(self, now: float) -> None:
        """Count a request."""
        self._add(now, 1, 0)

    @callback
    def spend(self, now: float, instances: int) -> bool:
        """Count a second send if there is room for it."""
        self._drop_old(now)
        allowed = SHARE * (self._ratio * self._firsts + self._slack / max(instances, 1))
        if self._seconds + 1 > allowed:
            return False
        self._add(now, 0, 1)
        return True

    @callback
    def _add(self, now: float, firsts: int, seconds: int) -> None:
        """Add to the present step."""
        step = int(now / self._step)
        self._drop_old(now)
        self._firsts += firsts
        self._seconds += seconds
        if self._counts and self._counts[-1][0] == step:
            _, known_firsts, known_seconds = self._counts.pop()
            firsts += known_firsts
            seconds += known_seconds
        self._counts.append((step, firsts, seconds))

    @callback
    def _drop_old(self, now: float) -> None:
        """Forget steps that left the window."""
        oldest = int(now / self._step) - STEPS
        while self._counts and self._counts[0][0] < oldest:
            _, firsts, seconds = self._counts.popleft()
            self._firsts -= firsts
            self._seconds -= seconds
