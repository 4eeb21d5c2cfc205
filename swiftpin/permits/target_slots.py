"""Use of one target's slots."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
import math
from typing import Final

from swiftpin.permits.cold_limit import ColdLimit

INITIAL_REQUEST_TIME: Final = 0.2
"""Seconds assumed for a request before any was seen."""

OBSERVATION_WEIGHT: Final = 0.12
"""Weight of one observed time: a target that turns slow shows after a few requests."""

OVERDUE_REMAINING_SHARE: Final = 0.5
"""Part of the mean hold that a request is taken to need which has run for longer than
that: between none, if times were all equal, and a whole one, if they had no memory."""

IDLE_SLOT_TOLERANCE: Final = 0.01
"""Idle slots below which no permit is issued ahead, for rounding errors."""

MAX_PIPELINED_PERMITS: Final = 2
"""Permits issued beyond a target's slots. Targets reset connections when their own
queue is full."""

AVOIDANCE_PER_FAILURE: Final = 0.6
"""Seconds for which a target that failed is passed over where another will do."""


@dataclass(kw_only=True, slots=True)
class TargetSlots:
    """Requests that run at a target by permits given here, and how long they take."""

    limit: int
    zone: str = ""
    granted_at_by_request: dict[tuple[str, int], float] = field(default_factory=dict)
    mean_time: float = INITIAL_REQUEST_TIME
    mean_hold: float | None = None
    """Seconds for which a permit is out, the messages that give and return it included;
    None until one was seen."""

    cold: ColdLimit = field(default_factory=ColdLimit)
    avoided_until: float = 0.0
    recent_failures: deque[float] = field(default_factory=lambda: deque(maxlen=8))

    @property
    def running(self) -> int:
        """Return how many permits are out."""
        return len(self.granted_at_by_request)

    @property
    def is_free(self) -> bool:
        """Return whether a request would run at once."""
        return self.running < self.limit

    def max_permits(self, round_trip: float) -> int:
        """Return how many requests a target may have while no other has a free slot.

        `round_trip` is for how many seconds a permit is out beyond the target's work. A
        slot idles for as long between two requests unless the next one waits at the
        target. Requests that wait there can't be overtaken by more urgent ones.
        """
        idle_slots = self.limit * round_trip / self.mean_time
        return self.limit + min(
            math.ceil(idle_slots - IDLE_SLOT_TOLERANCE), MAX_PIPELINED_PERMITS
        )

    def record_time(self, seconds: float) -> None:
        """Take an observed time."""
        self.mean_time += OBSERVATION_WEIGHT * (seconds - self.mean_time)
        self.recent_failures.clear()

    def record_hold(self, seconds: float) -> None:
        """Take the time for which a permit was out.

        The first one counts whole: with an assumed time in the mean, a target that
        is fast seems full for its first ten requests, and callers that it could serve
        are rejected.
        """
        known = seconds if self.mean_hold is None else self.mean_hold
        self.mean_hold = known + OBSERVATION_WEIGHT * (seconds - known)

    def record_failure(self, now: float) -> None:
        """Take a failure; the longer they go on, the longer the target is avoided."""
        self.recent_failures.append(now)
        self.avoided_until = now + AVOIDANCE_PER_FAILURE * len(self.recent_failures)

    def free_in(self, permits: int, hold: float, now: float) -> float:
        """Return the seconds until fewer permits are out, each of them for `hold`."""
        if self.running < permits:
            return 0.0
        least = hold * OVERDUE_REMAINING_SHARE
        waits = (
            max(granted_at + hold - now, least)
            for granted_at in self.granted_at_by_request.values()
        )
        # A target that registered without slots has none to become free.
        return min(waits, default=hold)
