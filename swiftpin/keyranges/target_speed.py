"""Estimation of the processing speed of targets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback

OBSERVATION_WEIGHT: Final = 0.12
"""Weight of one observation; request times vary, so a single one is inaccurate."""

LONG_TERM_WEIGHT: Final = 0.03
"""Weight of one observation in a target's long-term factor. If request times have a
standard deviation of half their mean, the long-term factor is accurate to 6% and the
recent factor to 12%. With only the recent factor, some of a dozen equally fast targets
would appear 1.5 times as fast as others."""

INITIAL_REQUEST_TIME: Final = 0.2
"""Seconds assumed for a request until the first observations. About a dozen requests
replace this estimate."""

MAX_FACTOR: Final = 8.0
MIN_FACTOR: Final = 0.25
"""Bounds of a target's factor. A target that appears to be stuck still gets a key
occasionally; otherwise its recovery would go undetected."""

ERROR_WEIGHT: Final = 0.1
"""Weight of one observation in a target's error rate."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityBounds:
    """Lower and upper bound of a target's capacity, in requests per second."""

    low: float
    high: float


class TargetSpeed:
    """Estimates a service's mean request time and each target's time relative to it."""

    def __init__(self) -> None:
        self.mean_time = INITIAL_REQUEST_TIME
        self._factors_by_target: dict[str, float] = {}
        self._long_term_factors_by_target: dict[str, float] = {}
        self._error_rates_by_target: dict[str, float] = {}

    @callback
    def add(self, target: str, seconds: float, *, failed: bool) -> None:
        """Add the time of one request at a target."""
        error_rate = self._error_rates_by_target.get(target, 0.0)
        self._error_rates_by_target[target] = error_rate + ERROR_WEIGHT * (
            failed - error_rate
        )
        if failed:
            return
        factor = self._factors_by_target.get(target, 1.0)
        observed_factor = min(max(seconds / self.mean_time, MIN_FACTOR), MAX_FACTOR)
        self._update_factors(target, observed_factor)
        normalized_seconds = seconds / max(factor, MIN_FACTOR)
        self.mean_time += OBSERVATION_WEIGHT / 4 * (normalized_seconds - self.mean_time)

    @callback
    def add_abandoned(self, target: str, seconds: float) -> None:
        """Add a request that was abandoned before its answer.

        It would have taken at least as long. A target that became slow answers no
        request in time; judged by answers alone, it would appear as fast as before. A
        time shorter than the expected one provides no information.
        """
        factor = self._factors_by_target.get(target, 1.0)
        if seconds > factor * self.mean_time:
            self._update_factors(target, min(seconds / self.mean_time, MAX_FACTOR))

    @callback
    def capacity(self, target: str, slots: int) -> float:
        """Return the requests per second that a target can handle."""
        factor = self._factors_by_target.get(target, 1.0)
        success_rate = 1.0 - min(self._error_rates_by_target.get(target, 0.0), 0.9)
        return slots * success_rate / (self.mean_time * max(factor, MIN_FACTOR))

    @callback
    def seconds(self, target: str) -> float:
        """Return the mean time of a request at a target."""
        factor = self._factors_by_target.get(target, 1.0)
        return self.mean_time * max(factor, MIN_FACTOR)

    @callback
    def capacity_bounds(self, target: str, slots: int) -> CapacityBounds:
        """Return bounds of a target's capacity, from its recent and long-term factor.

        A change of speed shows in the recent factor first, so the bounds lie apart
        until the long-term factor has followed.
        """
        recent = self.capacity(target, slots)
        factor = self._factors_by_target.get(target, 1.0)
        long_term_factor = self._long_term_factors_by_target.get(target, 1.0)
        long_term = recent * max(factor, MIN_FACTOR) / max(long_term_factor, MIN_FACTOR)
        return CapacityBounds(low=min(recent, long_term), high=max(recent, long_term))

    @callback
    def published_factors(self) -> dict[str, float]:
        """Return the factors that the next assigner is to start with."""
        return {}

    @callback
    def restore_factors(self, factors_by_target: Mapping[str, float]) -> None:
        """Start with the factors that an earlier assigner published."""

    @callback
    def retain_targets(self, targets: set[str]) -> None:
        """Drop the estimates of all other targets."""
        for by_target in (
            self._factors_by_target,
            self._long_term_factors_by_target,
            self._error_rates_by_target,
        ):
            for target in by_target.keys() - targets:
                del by_target[target]

    @callback
    def _update_factors(self, target: str, observed_factor: float) -> None:
        """Update a target's factors by a request's time as a multiple of the mean."""
        for factors, weight in (
            (self._factors_by_target, OBSERVATION_WEIGHT),
            (self._long_term_factors_by_target, LONG_TERM_WEIGHT),
        ):
            factor = factors.get(target, 1.0)
            factors[target] = factor + weight * (observed_factor - factor)
