"""How often grants are renewed and how long they last."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.const import (
    CLOCK_DRIFT,
    HOLD_BEYOND_RENEWAL,
    HOLD_MARGIN,
    HOLD_TIME,
    MAX_RENEWALS_PER_SECOND,
    MIN_RENEW_INTERVAL,
)

MAX_RENEW_INTERVAL: Final = 2.5
"""Seconds between two renewals at most."""

MAX_REGULAR_HOLD: Final = MAX_RENEW_INTERVAL + HOLD_BEYOND_RENEWAL
"""Seconds of a grant where there are most segments."""


def renew_pause(segment_count: int) -> float:
    """Return the seconds between two renewals of a grant."""
    interval = segment_count / MAX_RENEWALS_PER_SECOND
    return max(MIN_RENEW_INTERVAL, min(interval, MAX_RENEW_INTERVAL))


def regular_hold(segment_count: int) -> float:
    """Return the seconds for which grants are given at rest."""
    return renew_pause(segment_count) + HOLD_BEYOND_RENEWAL


class HoldLimit:
    """The seconds that the record names as the longest grant that may still run.

    A successor waits for as long before it takes a target's grants for ended. It can't
    guess that from the number of segments: those that were joined moments ago had
    longer grants, and a former assigner may have had other settings. Then a target
    still held keys that the successor granted to another. So the limit is written
    before longer grants are given, and lowered only once they have all ended.
    """

    def __init__(self, max_hold: float) -> None:
        self._max_hold = max_hold
        self._long_grants_until = 0.0

    @callback
    def note_recorded(self, recorded: float | None, now: float) -> float:
        """Take what a former assigner's record names; return its longest grant.

        A record that names nothing is another version's; it may have given the longest
        grants that targets take.
        """
        limit = self._max_hold if recorded is None else recorded
        self._note_granted(limit, now)
        return limit

    @callback
    def limit_for_record(
        self, previous_segment_count: int, segment_count: int, now: float
    ) -> float:
        """Return the limit for a record that is about to be written."""
        wanted = regular_hold(max(previous_segment_count, segment_count))
        may_be_long = wanted > HOLD_TIME or now < self._long_grants_until
        return min(MAX_REGULAR_HOLD if may_be_long else HOLD_TIME, self._max_hold)

    @callback
    def next_hold(
        self, segment_count: int, recorded: float | None, now: float
    ) -> float:
        """Return the seconds for which to grant now."""
        limit = self._max_hold if recorded is None else recorded
        hold = min(regular_hold(segment_count), limit, self._max_hold)
        self._note_granted(hold, now)
        return hold

    @callback
    def _note_granted(self, hold: float, now: float) -> None:
        """Note that grants of some length were given up to now."""
        if hold > HOLD_TIME:
            ends_at = now + hold * CLOCK_DRIFT + HOLD_MARGIN
            self._long_grants_until = max(self._long_grants_until, ends_at)
