"""Progress of a caller that reads an answer."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import Final

from swiftpin.core import callback

STALL_LIMIT: Final = 5.0
"""Seconds for which a caller may read nothing while bytes wait for it."""

RATE_PERIOD: Final = 10.0
"""Seconds over which the rate of a caller is measured."""

MIN_RATE: Final = 4000.0
"""Bytes per second that a caller must read while bytes wait for it."""


class SlowReason(StrEnum):
    """Why a caller is too slow to be served any longer."""

    STALLED = "stalled"
    SLOW = "slow"


class ReaderProgress:
    """Judges one caller by the bytes that it has taken.

    The load: callers that read slowly or not at all. A target cuts off an answer that
    nobody reads for some seconds, so such a caller wouldn't get its answer anyway.
    Times in which no byte waits for the caller don't count.
    """

    __slots__ = ("_progress_at", "_samples", "_taken")

    def __init__(self, now: float) -> None:
        self._taken = 0
        self._progress_at = now
        self._samples: deque[tuple[float, int]] = deque()

    @callback
    def update(
        self, taken: int, *, is_waiting: bool, min_rate: float, now: float
    ) -> SlowReason | None:
        """Return why the caller is too slow, None if it isn't.

        `taken` is the number of bytes that it has taken so far.
        """
        if taken > self._taken or not is_waiting:
            self._taken = taken
            self._progress_at = now
        if not is_waiting:
            self._samples.clear()
            return None
        if now - self._progress_at >= STALL_LIMIT:
            return SlowReason.STALLED
        samples = self._samples
        samples.append((now, taken))
        while len(samples) > 1 and samples[1][0] <= now - RATE_PERIOD:
            samples.popleft()
        since, taken_before = samples[0]
        elapsed = now - since
        if elapsed >= RATE_PERIOD and taken - taken_before < min_rate * elapsed:
            return SlowReason.SLOW
        return None
