"""Growth of the usable slots after a target's start."""

from __future__ import annotations

from swiftpin.core import callback


class SlotRamp:
    """Slots that may be used: all, or after a start from 1 upwards within a time."""

    __slots__ = ("_duration", "_slots", "_started_at")

    def __init__(self, slots: int, duration: float) -> None:
        self._slots = slots
        self._duration = duration
        self._started_at: float | None = None

    @callback
    def start(self, now: float) -> None:
        """Begin again with one slot."""
        self._started_at = now

    @callback
    def slots(self, now: float) -> int:
        """Return the number of usable slots."""
        if self._started_at is None:
            return self._slots
        age = now - self._started_at
        if age >= self._duration:
            self._started_at = None
            return self._slots
        return 1 + int((self._slots - 1) * max(age, 0.0) / self._duration)

    @callback
    def next_step(self, now: float) -> float | None:
        """Return when the number grows next, None when all slots are usable."""
        slots = self.slots(now)
        if self._started_at is None or slots >= self._slots:
            return None
        return self._started_at + slots * self._duration / (self._slots - 1)
