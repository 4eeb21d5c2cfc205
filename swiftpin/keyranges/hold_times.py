"""How often grants are renewed and how long they last."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.const import (
    CLOCK_DRIFT,
    GRANT_RENEW,
    HOLD_BEYOND_RENEWAL,
    HOLD_MARGIN,
    HOLD_TIME,
    RENEWALS_PER_SECOND,
)

MOST_RENEW_PAUSE: Final = 2.5
"""Seconds between two renewals at most."""

LONGEST_HOLD: Final = MOST_RENEW_PAUSE + HOLD_BEYOND_RENEWAL
"""Seconds of a grant where there are most segments."""


def renew_pause(segments: int) -> float:
    """Return the seconds between two renewals of a grant."""
    busy = segments / RENEWALS_PER_SECOND
    return max(GRANT_RENEW, min(busy, MOST_RENEW_PAUSE))


def usual_hold(segments: int) -> float:
    """Return the seconds for which grants are given at rest."""
    return renew_pause(segments) + HOLD_BEYOND_RENEWAL


class HoldLimit:
    """The seconds that the record names as the longest grant that may still run.

    A successor waits for as long before it takes a target's grants for ended. It can't
    guess that from the number of segments: those that were joined moments ago had
    longer grants, and a former assigner may have had other settings. Then a target
    still held keys that the successor granted to another. So the limit is written
    before longer grants are given, and lowered only once they have all ended.
    """

    def __init__(self, longest: float) -> None:
        self._longest = longest
        self._long_until = 0.0

    @callback
    def note_recorded(self, recorded: float | None, now: float) -> float:
        """Take what a former assigner's record names; return its longest grant.

        A record that names nothing is another version's; it may have given the longest
        grants that targets take.
        """
        limit = self._longest if recorded is None else recorded
        self._note_given(limit, now)
        return limit

    @callback
    def for_record(self, segments_before: int, segments: int, now: float) -> float:
        """Return the limit for a record that is about to be written."""
        wanted = usual_hold(max(segments_before, segments))
        may_be_long = wanted > HOLD_TIME or now < self._long_until
        return min(LONGEST_HOLD if may_be_long else HOLD_TIME, self._longest)

    @callback
    def hold(self, segments: int, recorded: float | None, now: float) -> float:
        """Return the seconds for which to grant now."""
        limit = self._longest if recorded is None else recorded
        hold = min(usual_hold(segments), limit, self._longest)
        self._note_given(hold, now)
        return hold

    @callback
    def _note_given(self, hold: float, now: float) -> None:
        """Note that grants of some length were given up to now."""
        if hold > HOLD_TIME:
            ends_at = now + hold * CLOCK_DRIFT + HOLD_MARGIN
            self._long_until = max(self._long_until, ends_at)
