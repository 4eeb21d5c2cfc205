"""How much each key is asked for."""

from __future__ import annotations

from collections.abc import Mapping
import math
from typing import Final

from swiftpin.core import callback

DECAY_TIME: Final = 1.5
"""Seconds after which a request counts a third. Hot keys last some seconds, so a
longer memory notices them late; a shorter one takes chance for a change."""

MIN_RATE: Final = 0.02
"""Requests a second below which a key is forgotten."""


class KeyLoad:
    """Requests a second by key, fading."""

    def __init__(self) -> None:
        self.rates_by_key: dict[int, float] = {}
        self._faded_at: float | None = None

    @callback
    def add(self, counts_by_key: Mapping[int, int]) -> None:
        """Count requests that arrived since the last call."""
        rates = self.rates_by_key
        for key, count in counts_by_key.items():
            rates[key] = rates.get(key, 0.0) + count / DECAY_TIME

    @callback
    def decay(self, now: float) -> None:
        """Let what was counted decay up to a time."""
        since = self._faded_at
        self._faded_at = now
        if since is None or now <= since:
            return
        factor = math.exp((since - now) / DECAY_TIME)
        self.rates_by_key = {
            key: faded
            for key, rate in self.rates_by_key.items()
            if (faded := rate * factor) > MIN_RATE
        }
