"""Counters of calls, in total and over the last seconds."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any, Final

from swiftpin.core import callback

WINDOW: Final = 10.0
"""Seconds over which rates are taken."""
BUCKET: Final = 1.0
"""Seconds that one bucket of the window covers."""


class CallCounters:
    """Named counters; rates are calls a second over the last `WINDOW` seconds."""

    def __init__(self) -> None:
        self._totals_by_name: Counter[str] = Counter()
        self._buckets: deque[tuple[float, Counter[str]]] = deque()

    @callback
    def add(self, name: str, now: float, amount: int = 1) -> None:
        """Count `amount` under the name."""
        self._totals_by_name[name] += amount
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET:
            self._forget(now)
            self._buckets.append((now, Counter()))
        self._buckets[-1][1][name] += amount

    def total(self, name: str) -> int:
        """Return the count since the start."""
        return self._totals_by_name[name]

    def as_document(self, now: float) -> dict[str, Any]:
        """Return the counters as a JSON document with `totals` and `per_second`."""
        self._forget(now)
        window: Counter[str] = Counter()
        for _, counts in self._buckets:
            window.update(counts)
        rates = {name: count / WINDOW for name, count in window.items()}
        return {
            "window_s": WINDOW,
            "totals": dict(self._totals_by_name),
            "per_second": {name: rates.get(name, 0.0) for name in self._totals_by_name},
        }

    @callback
    def _forget(self, now: float) -> None:
        """Drop the buckets that began before the window."""
        while self._buckets and now - self._buckets[0][0] > WINDOW:
            self._buckets.popleft()
