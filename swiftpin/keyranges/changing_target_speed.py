"""Estimation of the speed of targets that may change suddenly."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.target_speed import (
    LONG_TERM_WEIGHT,
    OBSERVATION_WEIGHT,
    TargetSpeed,
)

RECENT_OBSERVATIONS: Final = 3
"""Number of observations in a row that show a change of speed. About 3% of the requests
take several times as long; three of them in a row are rare."""

CHANGE_RATIO: Final = 1.9
"""Ratio to the present factor that each of the recent observations must exceed, in the
same direction."""

MAX_OUTLIER_RATIO: Final = 2.5
"""Ratio to the present factor up to which an observation counts. One request in thirty
takes seven times as long; two of them would make a target appear twice as slow."""


class ChangingTargetSpeed(TargetSpeed):
    """Follows a sudden change of speed after a few requests.

    The first observations of a target count more than later ones, so that a new
    assigner knows the speeds after some ten requests to each target.
    """

    def __init__(self) -> None:
        super().__init__()
        self._recent_by_target: dict[str, deque[float]] = {}
        self._counts_by_target: dict[str, int] = {}

    @callback
    def restore_factors(self, factors_by_target: Mapping[str, float]) -> None:
        """Start with the factors that an earlier assigner knew."""
        for target, factor in factors_by_target.items():
            self._factors_by_target[target] = factor
            self._long_term_factors_by_target[target] = factor
            self._counts_by_target[target] = round(1 / OBSERVATION_WEIGHT)

    @callback
    def published_factors(self) -> dict[str, float]:
        """Return the factor of each target from which requests were answered."""
        return dict(self._factors_by_target)

    @callback
    def retain_targets(self, targets: set[str]) -> None:
        """Drop the estimates of all other targets."""
        super().retain_targets(targets)
        for target in self._recent_by_target.keys() - targets:
            del self._recent_by_target[target]
        for target in self._counts_by_target.keys() - targets:
            del self._counts_by_target[target]

    @callback
    def _update_factors(self, target: str, observed_factor: float) -> None:
        """Update a target's factors, or replace them if its speed has changed."""
        recent = self._recent_by_target.setdefault(
            target, deque(maxlen=RECENT_OBSERVATIONS)
        )
        recent.append(observed_factor)
        count = self._counts_by_target.get(target, 0) + 1
        factor = self._factors_by_target.get(target, 1.0)
        if _shows_change(recent, factor):
            mean = sum(recent) / len(recent)
            self._factors_by_target[target] = mean
            self._long_term_factors_by_target[target] = mean
            self._counts_by_target[target] = len(recent)
            recent.clear()
            return
        self._counts_by_target[target] = count
        observed_factor = min(observed_factor, factor * MAX_OUTLIER_RATIO)
        for factors, weight in (
            (self._factors_by_target, OBSERVATION_WEIGHT),
            (self._long_term_factors_by_target, LONG_TERM_WEIGHT),
        ):
            factor = factors.get(target, 1.0)
            # The assumed factor of 1 counts as one observation.
            step = max(weight, 1 / (count + 1))
            factors[target] = factor + step * (observed_factor - factor)


def _shows_change(recent: deque[float], factor: float) -> bool:
    """Return whether all recent observations differ from a factor in one direction."""
    if len(recent) < RECENT_OBSERVATIONS:
        return False
    return min(recent) > factor * CHANGE_RATIO or max(recent) < factor / CHANGE_RATIO
