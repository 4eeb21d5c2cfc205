"""Renewal intervals and durations ("holds") of grants."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.const import (
    CLOCK_DRIFT_FACTOR,
    HOLD_BEYOND_RENEWAL,
    HOLD_MARGIN,
    MAX_RENEWALS_PER_SECOND,
    MIN_REGULAR_HOLD,
    MIN_RENEW_INTERVAL,
)

MAX_RENEW_INTERVAL: Final = 2.5
"""Maximum seconds between two renewals of a grant."""

MAX_REGULAR_HOLD: Final = MAX_RENEW_INTERVAL + HOLD_BEYOND_RENEWAL
"""Duration of a grant in the services with the most segments, in seconds."""


def renew_interval(segment_count: int) -> float:
    """Return the seconds between two renewals of a grant."""
    interval = segment_count / MAX_RENEWALS_PER_SECOND
    return max(MIN_RENEW_INTERVAL, min(interval, MAX_RENEW_INTERVAL))


def regular_hold(segment_count: int) -> float:
    """Return the duration of a grant to a target that answers, in seconds."""
    return renew_interval(segment_count) + HOLD_BEYOND_RENEWAL


class HoldLimit:
    """Tracks the recorded limit on the duration of grants that may still be valid.

    A new assigner waits for this time before it considers a target's grants expired. It
    can't derive the limit from the number of segments: segments that were merged
    moments ago had longer grants, and the previous assigner may have had other
    settings. With too short a limit, a target could still hold keys that the new
    assigner grants to another one. So the limit is recorded before longer grants are
    sent, and lowered only once all of them have expired.
    """

    def __init__(self, max_hold: float) -> None:
        self._max_hold = max_hold
        self._long_grants_until = 0.0

    @callback
    def note_recorded(self, recorded: float | None, now: float) -> float:
        """Note the limit in a previous assigner's record; return the effective limit.

        A record without a limit was written by another version, which may have sent
        the longest grants that targets accept.
        """
        limit = self._max_hold if recorded is None else recorded
        self._note_granted(limit, now)
        return limit

    @callback
    def note_unrecorded(self, now: float) -> float:
        """Note that grants may be valid that no record limits; return the limit."""
        limit = min(MAX_REGULAR_HOLD, self._max_hold)
        self._note_granted(limit, now)
        return limit

    @callback
    def limit_for_record(
        self, previous_segment_count: int, segment_count: int, now: float
    ) -> float:
        """Return the limit for a record that is about to be written."""
        required_hold = regular_hold(max(previous_segment_count, segment_count))
        may_be_long = required_hold > MIN_REGULAR_HOLD or now < self._long_grants_until
        return min(
            MAX_REGULAR_HOLD if may_be_long else MIN_REGULAR_HOLD, self._max_hold
        )

    @callback
    def next_hold(
        self, segment_count: int, recorded: float | None, now: float
    ) -> float:
        """Return the duration of a grant that is sent now, in seconds."""
        limit = self._max_hold if recorded is None else recorded
        hold = min(regular_hold(segment_count), limit, self._max_hold)
        self._note_granted(hold, now)
        return hold

    @callback
    def _note_granted(self, hold: float, now: float) -> None:
        """Note that grants of this duration may have been sent until now."""
        if hold > MIN_REGULAR_HOLD:
            expires_at = now + hold * CLOCK_DRIFT_FACTOR + HOLD_MARGIN
            self._long_grants_until = max(self._long_grants_until, expires_at)
