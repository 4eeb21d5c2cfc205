"""Fair shares of the callers that compete for the same slots."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

IDLE_TIME: Final = 10.0
"""Seconds without a request after which a caller is forgotten."""

MAX_CALLERS: Final = 5_000
"""Callers that are remembered per kind; those idle for longest are forgotten first."""


class CallerShares:
    """Ranks the requests of one kind by start-time fair queueing.

    Handles a load in which some callers send more requests than others, for example
    since they retry at once, and not all can be served. A caller's next request starts
    where its last one ended, also if that was rejected: otherwise each further attempt
    would be another chance, and callers that retry at once would gain by it.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        """Highest start of a request that got a slot."""

        self._ends_by_caller: dict[int, tuple[float, float]] = {}
        """End of each caller's last request in virtual time, and when it arrived; the
        callers idle for longest come first."""

    def __len__(self) -> int:
        """Return the number of remembered callers."""
        return len(self._ends_by_caller)

    @callback
    def add(self, caller: int, now: float) -> float:
        """Count a request of a caller and return its start in virtual time.

        Requests of an unknown caller, 0, start at the present virtual time.
        """
        if not caller:
            return self._virtual_time
        last = self._ends_by_caller.pop(caller, None)
        start = self._virtual_time if last is None else max(last[0], self._virtual_time)
        self._ends_by_caller[caller] = (start + 1.0, now)
        if len(self._ends_by_caller) > MAX_CALLERS:
            del self._ends_by_caller[next(iter(self._ends_by_caller))]
        return start

    @callback
    def record_grant(self, start: float) -> None:
        """Advance the virtual time to the start of a request that got a slot."""
        self._virtual_time = max(self._virtual_time, start)

    @callback
    def forget_idle(self, now: float) -> None:
        """Forget the callers without a recent request."""
        while self._ends_by_caller:
            caller, (_, arrived_at) = next(iter(self._ends_by_caller.items()))
            if now - arrived_at <= IDLE_TIME:
                return
            del self._ends_by_caller[caller]
