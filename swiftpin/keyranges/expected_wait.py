"""Expected response times of targets, as seen by callers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
import math
from typing import Final

from swiftpin.keyranges.target_share import TargetShare

MAX_UTILIZATION: Final = 0.97
"""Utilization above which the wait grows linearly: it is unbounded only if the overload
lasts, and overloaded targets must still be comparable."""

WAIT_STEP: Final = 0.02
"""Resolution of the wait, in multiples of the time of a request, at which utilizations
are remembered."""

LEVEL_STEPS: Final = 16
"""Number of bisections for the common response time, which is found to 0.01%."""

MAX_LEVEL_FACTOR: Final = 8.0
"""Upper bound of the common response time in multiples of the longest request time."""


@lru_cache(maxsize=16)
def _exponent(slots: float) -> float:
    """Return the exponent of the utilization in Sakasegawa's approximation."""
    return math.sqrt(2 * (slots + 1))


def relative_wait(utilization: float, slots: float) -> float:
    """Return the mean wait for a slot in multiples of the time of a request.

    This is Sakasegawa's approximation of the M/M/c queue. The times of requests vary
    about as much as exponentially distributed ones.
    """
    bounded = min(utilization, MAX_UTILIZATION)
    wait: float = bounded ** _exponent(slots) / (slots * (1 - bounded))
    return wait * max(utilization / MAX_UTILIZATION, 1.0)


@lru_cache(maxsize=4096)
def _utilization_at(steps: int, slots: float) -> float:
    """Return the utilization at which the wait is a number of steps long."""
    wait = steps * WAIT_STEP
    low, high = 0.0, 1.0
    for _ in range(12):
        middle = (low + high) / 2
        if relative_wait(middle, slots) > wait:
            high = middle
        else:
            low = middle
    return low


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectedWaits:
    """Response times of targets by their load.

    A target that takes longer for a request than others need with their queue should
    get no load at all, however idle it is; utilization alone doesn't show that.
    """

    seconds_by_target: Mapping[str, float]
    """Mean time of a request at each target, without a wait."""

    def response_time(self, target: str, load: float, capacity: float) -> float:
        """Return the expected seconds for a request at a target with a load."""
        seconds = self.seconds_by_target[target]
        slots = self._slots(target, capacity)
        return seconds * (1 + relative_wait(load / capacity, slots))

    def load_at(self, response_time: float, target: str, capacity: float) -> float:
        """Return the load at which a target has a response time, 0 if it is slower."""
        wait = response_time / self.seconds_by_target[target] - 1
        if wait <= 0:
            return 0.0
        slots = self._slots(target, capacity)
        return capacity * _utilization_at(int(wait / WAIT_STEP), slots)

    def balanced_response_time(self, shares: Mapping[str, TargetShare]) -> float:
        """Return the response time of all used targets if the load were distributed.

        Targets that are slower than that get no load.
        """
        load = sum(share.load for share in shares.values())
        low = min(self.seconds_by_target[target] for target in shares)
        high = max(self.seconds_by_target[target] for target in shares)
        high *= MAX_LEVEL_FACTOR
        for _ in range(LEVEL_STEPS):
            middle = (low + high) / 2
            if self._total_load_at(middle, shares) < load:
                low = middle
            else:
                high = middle
        return high

    def _total_load_at(
        self, response_time: float, shares: Mapping[str, TargetShare]
    ) -> float:
        """Return the load that targets can serve with a response time."""
        return sum(
            self.load_at(response_time, target, share.capacity)
            for target, share in shares.items()
        )

    def _slots(self, target: str, capacity: float) -> float:
        """Return the slots that a target can use, rounded so that few values occur."""
        return max(round(capacity * self.seconds_by_target[target] * 2) / 2, 0.5)
