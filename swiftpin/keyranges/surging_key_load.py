"""Request rates of keys whose demand may change within a second."""

from __future__ import annotations

from collections.abc import Mapping
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.key_load import DECAY_TIME, MIN_RATE, KeyLoad

FAST_DECAY_TIME: Final = 0.35
"""Time constant, in seconds, of the rates that show a change. A range that gets a third
of all requests is recognised within two reports of the instances."""

NEIGHBOURHOOD: Final = 64
"""Number of neighbouring keys that are compared together. The requests for a single key
of a hot range are too few to show a change."""

MIN_DEVIATIONS: Final = 3.0
"""Standard deviations of the fast rate by which it must differ from the slow one. With
1,000 neighbourhoods, fewer would show changes in each plan where there are none."""


class SurgingKeyLoad(KeyLoad):
    """Rates that follow a surge at once, and are as steady as others without one.

    The usual rates reach a new level after several time constants; a hot range would be
    moved in several steps, each for a part of its demand.
    """

    def __init__(self) -> None:
        super().__init__()
        self._fast_rates: dict[int, float] = {}
        """Rates by number of the neighbourhood."""

        self._fast_decayed_at: float | None = None

    @callback
    def add(self, counts_by_key: Mapping[int, int]) -> None:
        """Add requests that arrived since the last call."""
        super().add(counts_by_key)
        rates = self._fast_rates
        for key, count in counts_by_key.items():
            number = key // NEIGHBOURHOOD
            rates[number] = rates.get(number, 0.0) + count / FAST_DECAY_TIME

    @callback
    def decay(self, now: float) -> None:
        """Decay all rates to the given time."""
        super().decay(now)
        last_decayed_at = self._fast_decayed_at
        self._fast_decayed_at = now
        if last_decayed_at is None or now <= last_decayed_at:
            return
        factor = math.exp((last_decayed_at - now) / FAST_DECAY_TIME)
        self._fast_rates = {
            number: decayed
            for number, rate in self._fast_rates.items()
            if (decayed := rate * factor) > MIN_RATE
        }

    @callback
    def planning_rates(self) -> dict[int, float]:
        """Return the rates by key, scaled where the demand has just changed."""
        slow_rates: dict[int, float] = {}
        for key, rate in self.rates_by_key.items():
            number = key // NEIGHBOURHOOD
            slow_rates[number] = slow_rates.get(number, 0.0) + rate
        factors = {
            number: self._fast_rates.get(number, 0.0) / rate
            for number, rate in slow_rates.items()
            if _has_changed(rate, self._fast_rates.get(number, 0.0))
        }
        return {
            key: rate * factors.get(key // NEIGHBOURHOOD, 1.0)
            for key, rate in self.rates_by_key.items()
        }


def _has_changed(slow_rate: float, fast_rate: float) -> bool:
    """Return whether two rates differ by more than random variation.

    The variance of an exponentially decaying average of Poisson arrivals is the rate
    divided by twice the time constant.
    """
    rate = max(slow_rate, fast_rate)
    deviation = math.sqrt(rate / (2 * FAST_DECAY_TIME) + rate / (2 * DECAY_TIME))
    return abs(fast_rate - slow_rate) > MIN_DEVIATIONS * deviation
