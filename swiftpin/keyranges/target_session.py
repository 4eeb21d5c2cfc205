"""State of the calls from the assigner to one target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.const import CLOCK_DRIFT_FACTOR, HOLD_MARGIN
from swiftpin.keyranges.repeated_log_filter import RepeatedLogFilter

SILENCE_TIMEOUT: Final = 1.2
"""Seconds without an answer to any call after which a target's keys are moved."""

UNANSWERED_LOG_INTERVAL: Final = 1.0
"""Seconds between two log lines about a target's unanswered grants for the same reason:
a silent target is called four times per second for each segment."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SentFence:
    """A fence and the number of the only connection over which it is sent."""

    fence: int
    connection: int


class TargetSession:
    """Tracks one target's answers and the time until which it may hold keys.

    A target that was restarted under the same name answers calls that were meant for
    its earlier life. It would also accept a renewal, since it has not seen any fence.
    Both lives would then hold the same keys under the same fence, and a delayed grant
    for the earlier life would be as valid as one for the new life. A connection reaches
    only one life, so each fence is sent over only one connection: calls over a new
    connection use a fence above all earlier ones.
    """

    def __init__(self) -> None:
        self.unanswered_log_filter = RepeatedLogFilter(UNANSWERED_LOG_INTERVAL)
        self.renewal_lock = asyncio.Lock()
        """Held while renewals are in progress, so that none overtakes a release."""

        self.held_until = 0.0
        """Time by which all grants sent so far have expired on the target's clock."""

        self.is_gone = False
        """Whether the target has terminated: another one answered at its address."""

        self.grant_connection: int | None = None
        """Number of the connection that carried the last grant. Grants prefer it, since
        the first renewal over another connection needs a new fence for each segment.
        Releases, which may take seconds, avoid it."""

        self._failing_since: float | None = None
        self._sent_fences_by_segment: dict[int, SentFence] = {}
        """Fences in use by the recorded fence of their segment."""

    @callback
    def fence_for_connection(
        self, connection: int, segment_fence: int, allocate_fence: Callable[[], int]
    ) -> int:
        """Return the fence for granting a segment over a connection.

        The fence that was last sent for the segment is reused if it was sent over the
        same connection; otherwise a new one is allocated.
        """
        sent_fence = self._sent_fences_by_segment.get(segment_fence)
        if sent_fence is None or sent_fence.connection != connection:
            sent_fence = SentFence(fence=allocate_fence(), connection=connection)
            self._sent_fences_by_segment[segment_fence] = sent_fence
        self.grant_connection = connection
        return sent_fence.fence

    @callback
    def last_sent_fence(self, segment_fence: int) -> int | None:
        """Return the last fence sent for a segment, None if none was sent."""
        sent_fence = self._sent_fences_by_segment.get(segment_fence)
        return None if sent_fence is None else sent_fence.fence

    @callback
    def drop_fence(self, segment_fence: int) -> None:
        """Make the next grant of a segment use a new fence."""
        self._sent_fences_by_segment.pop(segment_fence, None)

    @callback
    def retain_fences(self, segment_fences: set[int]) -> None:
        """Drop the fences of all other segments."""
        for segment_fence in self._sent_fences_by_segment.keys() - segment_fences:
            del self._sent_fences_by_segment[segment_fence]

    @callback
    def note_grant(self, arrived_at: float, hold: float) -> None:
        """Record a grant that the target may have accepted no later than `arrived_at`.

        A target counts the hold time from the call's arrival. If the link loses
        packets, this may be as late as the answer or the timeout of the call.
        """
        expires_at = arrived_at + hold * CLOCK_DRIFT_FACTOR + HOLD_MARGIN
        self.held_until = max(self.held_until, expires_at)

    @callback
    def max_unextended_hold(self, now: float) -> float:
        """Return the longest hold, in seconds, that leaves `held_until` unchanged."""
        return (self.held_until - now - HOLD_MARGIN) / CLOCK_DRIFT_FACTOR

    @callback
    def note_answer(self) -> None:
        """Record that a call was answered."""
        self._failing_since = None

    @callback
    def note_failure(self, now: float) -> None:
        """Record that a call was not answered."""
        if self._failing_since is None:
            self._failing_since = now

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failing_since is not None

    @callback
    def is_lost(self, now: float) -> bool:
        """Return whether the target's keys should be moved to other targets."""
        if self.is_gone:
            return True
        failing_since = self._failing_since
        return failing_since is not None and now - failing_since >= SILENCE_TIMEOUT
