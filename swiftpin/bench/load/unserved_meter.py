"""Time during which keys were waited for and not served."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from swiftpin.core import callback


@dataclass(kw_only=True, slots=True)
class _Waiting:
    """Requests for a key that wait now, and since when none was answered."""

    count: int = 0
    since: float = 0.0


@dataclass(kw_only=True, slots=True)
class UnservedMeter:
    """Finds the spells in which someone waits for a key and nobody is answered.

    A spell starts when a request arrives for a key that nobody waits for, or with
    an answer while others still wait; it ends with the next answer. A request stuck
    at a frozen gateway thus does not count while others for its key are answered.
    Times are in seconds; spells up to `threshold` are normal service.
    """

    threshold: float
    spells_by_key: dict[str, list[float]] = field(default_factory=dict)
    _waiting_by_key: dict[str, _Waiting] = field(
        default_factory=lambda: defaultdict(_Waiting)
    )

    @callback
    def begin(self, key: str, now: float) -> None:
        """Note that a request for the key was due at `now`."""
        waiting = self._waiting_by_key[key]
        if waiting.count == 0:
            waiting.since = now
        waiting.count += 1

    @callback
    def end(self, key: str, now: float, *, is_answered: bool) -> None:
        """Note that one request for the key was answered, or given up."""
        waiting = self._waiting_by_key[key]
        waiting.count -= 1
        if is_answered or waiting.count == 0:
            self._record(key, now - waiting.since)
            waiting.since = now

    def _record(self, key: str, length: float) -> None:
        """Keep a spell that is longer than normal service."""
        if length > self.threshold:
            self.spells_by_key.setdefault(key, []).append(length)
