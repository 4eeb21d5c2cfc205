"""Availability of the store as seen by this instance."""

from __future__ import annotations

from eliot import log_message

from swiftpin.core import callback


class StoreHealth:
    """Records when the store became unavailable and when it recovered.

    All code that calls the store reports its results here, so that a list read right
    after an outage can be distinguished from one read in normal operation.
    """

    def __init__(self) -> None:
        self.answered_at: float | None = None
        self.lost_at: float | None = None
        self.recovered_at: float | None = None

    @property
    def is_lost(self) -> bool:
        """Return whether the last call failed."""
        return self.lost_at is not None

    @callback
    def record_answer(self, now: float) -> None:
        """Record that a call was answered."""
        self.answered_at = now
        if self.lost_at is None:
            return
        log_message(message_type="store_regained", lost_for=now - self.lost_at)
        self.lost_at = None
        self.recovered_at = now

    @callback
    def record_failure(self, reason: str, now: float) -> None:
        """Record that a call failed."""
        if self.lost_at is not None:
            return
        self.lost_at = now
        log_message(message_type="store_lost", level="warning", reason=reason)

    @callback
    def record_restore(self, now: float) -> None:
        """Record that the store was restored from a backup."""
        self.recovered_at = now

    @callback
    def is_settling(self, now: float, settle_time: float) -> bool:
        """Return whether the store is unavailable or recovered within `settle_time`."""
        if self.lost_at is not None:
            return True
        return self.recovered_at is not None and now - self.recovered_at < settle_time
