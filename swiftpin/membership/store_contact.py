"""When any instance last heard from the store."""

from __future__ import annotations

from swiftpin.core import callback


class StoreContact:
    """Latest known time at which this or another instance heard from the store.

    Instances tell each other the age of what they know, in seconds, since their
    clocks have nothing in common. Times are the own monotonic seconds.
    """

    def __init__(self) -> None:
        self._heard_at: float | None = None

    @callback
    def note(self, now: float) -> None:
        """Remember that this instance heard from the store."""
        self._heard_at = now

    @callback
    def merge(self, age: float | None, asked_at: float) -> None:
        """Learn what another instance knows.

        The age is counted from the time of asking. Counted from the answer's, each
        exchange would make the contact look later by the message's delay, and slow
        instances could keep a lost store looking alive among themselves.
        """
        if age is None:
            return
        heard_at = asked_at - age
        if self._heard_at is None or heard_at > self._heard_at:
            self._heard_at = heard_at

    @callback
    def age(self, now: float) -> float | None:
        """Return the time since the latest known contact, None when unknown."""
        if self._heard_at is None:
            return None
        return max(0.0, now - self._heard_at)
