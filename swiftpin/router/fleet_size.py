"""How many instances share what the fleet as a whole may spend."""

from __future__ import annotations

from collections import deque
from typing import Final

from swiftpin.core import callback

MAX_HOLDER_SILENCE: Final = 3.0
"""Seconds without the holder of the lease after which an instance counts as cut off;
longer than a takeover."""

ANNOUNCEMENT_TIME: Final = MAX_HOLDER_SILENCE + 2.0
"""Seconds after which everyone has been told of an instance that is in touch with the
holder, or counts as cut off."""

COUNT_RETENTION: Final = 60.0
"""Seconds for which a count is remembered. A new holder hears the members one after the
other and tells too few of them at first."""

HEADROOM_DIVISOR: Final = 8
"""Part of the members by which the count that is told may exceed their number, so that
not every start is told to everyone."""


class FleetSize:
    """Upper bound of the instances that take a share of a limit of the fleet.

    Every instance takes its share by itself. The shares add up to the whole at most
    if each of those that take one counts all the others that do. So only an instance
    in touch with the holder of the lease takes one, and by the greatest count that it
    was told lately. Instances that end have forgotten what they spent: one that has
    just started takes no share until all that has left the limit's window.
    """

    def __init__(self) -> None:
        self._connected_since = 0.0
        self._last_heard_at: float | None = None
        self._counts: deque[tuple[float, int]] = deque()

    @callback
    def record_member_count(self, members: int, now: float) -> None:
        """Take the count that the holder, heard at present, has told."""
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
        """Return the bound, for a limit that holds for each `window` of some seconds.

        None while this instance takes no share.
        """
        in_touch = now - self._connected_since if self._is_connected(now) else 0.0
        if in_touch < window + ANNOUNCEMENT_TIME:
            return None
        return self._counts[0][1]

    @callback
    def _is_connected(self, now: float) -> bool:
        """Return whether a holder was heard lately."""
        return (
            self._last_heard_at is not None
            and now - self._last_heard_at <= MAX_HOLDER_SILENCE
        )


@callback
def member_count_to_announce(members: int, announced: int) -> int:
    """Return the count to tell, at least the members; `told` was told last."""
    most = members + members // HEADROOM_DIVISOR
    if members <= announced <= most + members // HEADROOM_DIVISOR + 1:
        return announced
    return most
