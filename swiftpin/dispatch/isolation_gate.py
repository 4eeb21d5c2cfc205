"""When a request that must run alone may hold the others back."""

from __future__ import annotations

from swiftpin.core import callback


class IsolationGate:
    """State of the isolated runs at one target; times in monotonic seconds.

    Emptying a target costs the other callers throughput, so a caller that resends a
    suspected request for ever could stop all work. Two limits prevent it: one
    isolated run an interval while others wait, and a bound on how long the
    target's last requests are waited for.
    """

    __slots__ = ("_interval", "_last_end", "_patience", "closed_until", "running")

    def __init__(self, interval: float, patience: float) -> None:
        self._interval = interval
        self._patience = patience
        self._last_end = float("-inf")
        self.closed_until: float | None = None
        self.running = False

    @callback
    def is_due(self, now: float) -> bool:
        """Return whether the next isolated request may hold others back."""
        return self.closed_until is not None or now >= self._last_end + self._interval

    @callback
    def close(self, now: float) -> None:
        """Start to hold others back."""
        if self.closed_until is None:
            self.closed_until = now + self._patience

    @callback
    def is_overdue(self, now: float) -> bool:
        """Return whether the target took too long to become empty."""
        return self.closed_until is not None and now >= self.closed_until

    @callback
    def start(self) -> None:
        """Note that an isolated request runs."""
        self.closed_until = None
        self.running = True

    @callback
    def end(self, now: float) -> None:
        """Note that the isolated request ended or was given up."""
        self.closed_until = None
        self.running = False
        self._last_end = now
