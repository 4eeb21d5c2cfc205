"""How a target answers the instance that assigns keys."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.const import CLOCK_DRIFT_FACTOR, HOLD_MARGIN
from swiftpin.keyranges.repeated_log_filter import RepeatedLogFilter

SILENCE_TIMEOUT: Final = 1.2
"""Seconds without an answer to any call after which a target's keys go elsewhere."""

UNANSWERED_LOG_INTERVAL: Final = 1.0
"""Seconds between two lines about grants that a target left unanswered for the same
reason: a silent target is tried four times a second, for each segment."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SentFence:
    """A fence and the number of the one connection over which it is sent."""

    fence: int
    connection: int


class TargetSession:
    """What is known of one target's answers, and until when it may hold keys.

    A target that ended and started again under its name answers the calls that were
    meant for its earlier life. It would take a renewal, since it knows no fence; then
    two lives had the same keys under the same fence, and a grant of the earlier life
    that comes late is as good as the new one's. A connection leads to one life only, so
    each fence is sent over one connection only: whoever a new connection leads to gets
    a fence above all before it.
    """

    def __init__(self) -> None:
        self.unanswered_log_filter = RepeatedLogFilter(UNANSWERED_LOG_INTERVAL)
        self.renewal_lock = asyncio.Lock()
        """Held while renewals are under way, so that none overtakes a release."""

        self.held_until = 0.0
        """Time at which every grant sent so far has ended on the target's clock."""

        self.is_gone = False
        """Whether another target answered at the address, so this one has ended."""

        self.grant_connection: int | None = None
        """Number of the connection over which the last grant went. Grants prefer it and
        releases, which may take seconds, avoid it: over another one each segment's next
        renewal takes a new fence."""

        self._failing_since: float | None = None
        self._sent_by_segment: dict[int, SentFence] = {}
        """Fences in use, by the fence under which a segment was recorded."""

    @callback
    def fence_for_connection(
        self, connection: int, segment_fence: int, take: Callable[[], int]
    ) -> int:
        """Return the fence that a segment is granted under over a connection.

        It is the one sent over this connection before, else a new one from `take`.
        """
        sent = self._sent_by_segment.get(segment_fence)
        if sent is None or sent.connection != connection:
            sent = SentFence(fence=take(), connection=connection)
            self._sent_by_segment[segment_fence] = sent
        self.grant_connection = connection
        return sent.fence

    @callback
    def last_sent_fence(self, segment_fence: int) -> int | None:
        """Return the fence sent last for a segment, None before the first."""
        sent = self._sent_by_segment.get(segment_fence)
        return None if sent is None else sent.fence

    @callback
    def drop_fence(self, segment_fence: int) -> None:
        """Have the next grant of a segment sent under a new fence."""
        self._sent_by_segment.pop(segment_fence, None)

    @callback
    def retain_fences(self, segment_fences: set[int]) -> None:
        """Forget the fences of all other segments."""
        for segment_fence in self._sent_by_segment.keys() - segment_fences:
            del self._sent_by_segment[segment_fence]

    @callback
    def note_grant(self, arrived_at: float, hold: float) -> None:
        """Note a grant that the target may have taken, at that time at the latest.

        A target counts from the arrival, which is as late as the answer, or as the
        moment at which the call was given up, where a link lost what was sent.
        """
        ends_at = arrived_at + hold * CLOCK_DRIFT_FACTOR + HOLD_MARGIN
        self.held_until = max(self.held_until, ends_at)

    @callback
    def max_unextended_hold(self, now: float) -> float:
        """Return the longest grant that ends no later than those sent already."""
        return (self.held_until - now - HOLD_MARGIN) / CLOCK_DRIFT_FACTOR

    @callback
    def note_answer(self) -> None:
        """Note that a call was answered."""
        self._failing_since = None

    @callback
    def note_failure(self, now: float) -> None:
        """Note that a call was not answered."""
        if self._failing_since is None:
            self._failing_since = now

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failing_since is not None

    @callback
    def is_lost(self, now: float) -> bool:
        """Return whether the target's keys should go elsewhere."""
        if self.is_gone:
            return True
        since = self._failing_since
        return since is not None and now - since >= SILENCE_TIMEOUT
