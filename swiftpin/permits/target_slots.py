"""Usage of one target's slots."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
import math
from typing import Final

from swiftpin.permits.cold_limit import ColdLimit
from swiftpin.permits.rate_limiter import RateLimiter

INITIAL_REQUEST_TIME: Final = 0.2
"""Seconds assumed for a request before any was observed."""

OBSERVATION_WEIGHT: Final = 0.12
"""Weight of one observation in a mean: a slowdown shows after a few requests."""

OVERDUE_REMAINING_SHARE: Final = 0.5
"""Share of the mean hold time that an overdue request is still assumed to need: between
0, for constant times, and 1, for exponentially distributed ones."""

IDLE_SLOT_TOLERANCE: Final = 0.01
"""Expected idle slots that are ignored as rounding errors."""

MAX_PIPELINED_PERMITS: Final = 2
"""Maximum permits issued beyond a target's slots. Targets reset connections when their
own queue is full."""

UNREACHABLE_AFTER_FAILURES: Final = 2
"""Failed connections in a row after which a target counts as unreachable. A single lost
packet makes a connection attempt fail."""

UNREACHABLE_RETRY_INTERVAL: Final = 0.5
"""Seconds after which one request is granted a permit for an unreachable target."""

AVOIDANCE_PER_FAILURE: Final = 0.6
"""Seconds per recent failure for which a target is avoided if others are eligible."""


@dataclass(kw_only=True, slots=True)
class TargetSlots:
    """Outstanding permits of a target and the times that its requests take."""

    limit: int
    zone: str = ""
    granted_at_by_request: dict[tuple[str, int], float] = field(default_factory=dict)
    mean_time: float = INITIAL_REQUEST_TIME
    mean_hold: float | None = None
    """Mean seconds for which a permit is outstanding, including the messages that grant
    and release it; None until one was released."""

    cold: ColdLimit = field(default_factory=ColdLimit)
    rate_limiter: RateLimiter = field(default_factory=RateLimiter)
    avoided_until: float = 0.0
    recent_failures: deque[float] = field(default_factory=lambda: deque(maxlen=8))
    failed_connections: int = 0
    """Failed connections since the target last answered."""

    connects_at: float = 0.0
    """Time from which an unreachable target is tried again."""

    @property
    def running(self) -> int:
        """Return the number of outstanding permits."""
        return len(self.granted_at_by_request)

    @property
    def is_free(self) -> bool:
        """Return whether a request would run immediately."""
        return self.running < self.limit

    def max_permits(self, round_trip: float) -> int:
        """Return how many permits may be outstanding while no eligible slot is free.

        `round_trip` is the time in seconds for which a permit is outstanding beyond the
        target's work. A slot idles that long between two requests, unless the next one
        is already queued at the target. More urgent requests can't overtake those that
        are queued there.
        """
        idle_slots = self.limit * round_trip / self.mean_time
        return self.limit + min(
            math.ceil(idle_slots - IDLE_SLOT_TOLERANCE), MAX_PIPELINED_PERMITS
        )

    def record_time(self, seconds: float) -> None:
        """Record the time that a target took for a request."""
        self.mean_time += OBSERVATION_WEIGHT * (seconds - self.mean_time)
        self.recent_failures.clear()

    def record_hold(self, seconds: float) -> None:
        """Record the time for which a permit was outstanding.

        The first one becomes the mean. If the mean started with an assumed time, a fast
        target would seem full for its first ten requests, and callers that it could
        serve would be rejected.
        """
        mean = seconds if self.mean_hold is None else self.mean_hold
        self.mean_hold = mean + OBSERVATION_WEIGHT * (seconds - mean)

    def record_answer(self) -> None:
        """Record that the target answered."""
        self.failed_connections = 0

    def record_failed_connection(self, now: float) -> None:
        """Record that no connection to the target could be opened."""
        self.failed_connections += 1
        self.connects_at = now + UNREACHABLE_RETRY_INTERVAL

    def is_unreachable(self, now: float) -> bool:
        """Return whether requests without a key must not wait for a connection.

        The slots of an unreachable target are always free, so it would get most
        requests while others are busy. One at a time shows whether it is back.
        """
        if self.failed_connections < UNREACHABLE_AFTER_FAILURES:
            return False
        return now < self.connects_at or self.running > 0

    def record_failure(self, now: float) -> None:
        """Record a failure; the more there are, the longer the target is avoided."""
        self.recent_failures.append(now)
        self.avoided_until = now + AVOIDANCE_PER_FAILURE * len(self.recent_failures)

    def free_in(self, max_permits: int, hold: float, now: float) -> float:
        """Return the seconds until fewer than `max_permits` are outstanding.

        Each is expected to be outstanding for `hold` seconds.
        """
        if self.running < max_permits:
            return 0.0
        min_wait = hold * OVERDUE_REMAINING_SHARE
        waits = (
            max(granted_at + hold - now, min_wait)
            for granted_at in self.granted_at_by_request.values()
        )
        # A target that registered with 0 slots has no running requests.
        return min(waits, default=hold)
