"""Demand on the keys of one target, as seen by its permit issuer."""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import Final, NamedTuple

from swiftpin.core import callback
from swiftpin.permits.retry_spread import MAX_RETRY_AFTER

DEMAND_TIME: Final = 0.5
"""Time constant, in seconds, of the averages of the demand. A key with ten times the
demand that its owner can serve is recognised within a tenth of it."""

MIN_DEMAND: Final = 0.05
"""Requests per second below which a key is forgotten."""

RETRY_MEMORY: Final = MAX_RETRY_AFTER + 1.0
"""Seconds after a rejection within which the caller's next attempt is a retry."""


class Rejected(NamedTuple):
    """Rejection of a caller's request; times are on the event loop clock."""

    at: float
    objective_at: float
    """Time by which the first attempt's caller wanted the answer."""


class KeyDemand:
    """Requests per second by key; the retries of a caller are not counted again."""

    def __init__(self) -> None:
        self.rates_by_key: dict[int, float] = {}
        self._decayed_at = 0.0
        self._rejections: dict[tuple[int, int], Rejected] = {}
        """Last rejection by caller and key, oldest first."""

    @callback
    def record_arrival(
        self, key: int, caller: int, objective_at: float, now: float
    ) -> float:
        """Count a request, and return the time by which its caller wanted the answer.

        A caller that repeats a rejected request doesn't count again, and its answer is
        late as soon as that to the first attempt would be.
        """
        self.decay(now)
        rejected = self._rejections.pop((caller, key), None)
        if rejected is not None and now - rejected.at <= RETRY_MEMORY:
            return min(rejected.objective_at, objective_at)
        self.rates_by_key[key] = self.rates_by_key.get(key, 0.0) + 1 / DEMAND_TIME
        return objective_at

    @callback
    def record_rejection(self, key: int, caller: int, objective_at: float) -> None:
        """Record a rejection; callers without an address count as new each time.

        It is dated by the last arrival, which is precise enough for keys that get many
        requests.
        """
        if not caller:
            return
        self._rejections.pop((caller, key), None)
        self._rejections[caller, key] = Rejected(self._decayed_at, objective_at)
        for place, rejected in list(self._rejections.items()):
            if self._decayed_at - rejected.at <= RETRY_MEMORY:
                break
            del self._rejections[place]

    @callback
    def decay(self, now: float) -> None:
        """Decay all rates to the given time."""
        factor = math.exp(min(self._decayed_at - now, 0.0) / DEMAND_TIME)
        self._decayed_at = max(now, self._decayed_at)
        self.rates_by_key = {
            key: decayed
            for key, rate in self.rates_by_key.items()
            if (decayed := rate * factor) > MIN_DEMAND
        }


@callback
def fair_rate(demands: Iterable[float], capacity: float) -> float:
    """Return the rate up to which each key can be served; infinity if all can be.

    Keys with less demand than their equal share leave the rest to the others, so the
    capacity that they need is reserved for them.
    """
    left = capacity
    ordered = sorted(demands)
    for position, demand in enumerate(ordered):
        share = left / (len(ordered) - position)
        if demand > share:
            return share
        left -= demand
    return math.inf
