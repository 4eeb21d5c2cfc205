"""Request rate of each key."""

from __future__ import annotations

from collections.abc import Mapping
import math
from typing import Final

from swiftpin.core import callback

DECAY_TIME: Final = 1.5
"""Time constant, in seconds, of the exponential decay of request rates. Keys stay hot
for a few seconds: a longer time would detect them late, a shorter one would mistake
random variation for a change."""

MIN_RATE: Final = 0.02
"""Requests per second below which a key is dropped."""


class KeyLoad:
    """Requests per second by key, as an exponentially decaying average."""

    def __init__(self) -> None:
        self.rates_by_key: dict[int, float] = {}
        self._decayed_at: float | None = None

    @callback
    def add(self, counts_by_key: Mapping[int, int]) -> None:
        """Add requests that arrived since the last call."""
        rates = self.rates_by_key
        for key, count in counts_by_key.items():
            rates[key] = rates.get(key, 0.0) + count / DECAY_TIME

    @callback
    def decay(self, now: float) -> None:
        """Decay all rates to the given time."""
        last_decayed_at = self._decayed_at
        self._decayed_at = now
        if last_decayed_at is None or now <= last_decayed_at:
            return
        factor = math.exp((last_decayed_at - now) / DECAY_TIME)
        self.rates_by_key = {
            key: decayed
            for key, rate in self.rates_by_key.items()
            if (decayed := rate * factor) > MIN_RATE
        }

    @callback
    def planning_rates(self) -> dict[int, float]:
        """Return the rates by key that moves are planned by."""
        return self.rates_by_key
