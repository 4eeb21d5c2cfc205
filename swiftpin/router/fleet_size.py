"""Number of instances that share the limits of the whole fleet."""

from __future__ import annotations

from collections import deque
from typing import Final

from swiftpin.core import callback

MAX_HOLDER_SILENCE: Final = 3.0
"""Seconds without a heartbeat of the lease holder after which an instance counts as
disconnected; longer than a takeover."""

ANNOUNCEMENT_TIME: Final = MAX_HOLDER_SILENCE + 2.0
"""Seconds after which every instance either has received the count that includes a new
instance, or counts as disconnected."""

COUNT_RETENTION: Final = 60.0
"""Seconds for which a count stays in effect. The members connect to a new holder one
after the other, so its first counts are too low."""

HEADROOM_DIVISOR: Final = 8
"""The announced count may exceed the number of members by one part in this many, so
that not every start of an instance requires a new announcement."""


class FleetSize:
    """Upper bound for the number of instances that share a limit of the fleet.

    Every instance computes its share by itself. The shares add up to at most the limit
    if each instance that uses one counts all the others that do. Therefore only an
    instance connected to the lease holder uses a share, computed from the highest count
    announced recently. A restarted instance does not know what it used before, so it
    uses no share until that usage has left the limit's window.
    """

    def __init__(self) -> None:
        self._connected_since = 0.0
        self._last_heard_at: float | None = None
        self._counts: deque[tuple[float, int]] = deque()

    @callback
    def record_member_count(self, members: int, now: float) -> None:
        """Record the count announced by the currently connected holder."""
        if not self._is_connected(now):
            self._connected_since = now
        self._last_heard_at = now
        while self._counts and self._counts[-1][1] <= members:
            self._counts.pop()
        self._counts.append((now, members))
        while now - self._counts[0][0] > COUNT_RETENTION:
            self._counts.popleft()

    @callback
    def members(self, window: float, now: float) -> int | None:
        """Return the bound for a limit that applies to any `window` seconds.

        Return None while this instance must not use a share.
        """
        connected_seconds = (
            now - self._connected_since if self._is_connected(now) else 0.0
        )
        if connected_seconds < window + ANNOUNCEMENT_TIME:
            return None
        return self._counts[0][1]

    @callback
    def _is_connected(self, now: float) -> bool:
        """Return whether a holder was connected recently."""
        return (
            self._last_heard_at is not None
            and now - self._last_heard_at <= MAX_HOLDER_SILENCE
        )


@callback
def member_count_to_announce(members: int, announced: int) -> int:
    """Return the count to announce, at least `members`.

    `announced` is the last announced count; it is kept while it is close enough.
    """
    preferred = members + members // HEADROOM_DIVISOR
    if members <= announced <= preferred + members // HEADROOM_DIVISOR + 1:
        return announced
    return preferred
