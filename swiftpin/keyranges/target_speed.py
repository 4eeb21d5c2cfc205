"""How fast targets work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback

OBSERVATION_WEIGHT: Final = 0.12
"""Weight of one observation; work differs by request, so single ones say little."""

LONG_TERM_WEIGHT: Final = 0.03
"""Weight of one observation in a target's steady factor. Times of requests that spread
by half of their mean leave that within 6%, and the usual factor within 12%; among a
dozen targets of one speed some then seem half as fast again as others."""

INITIAL_REQUEST_TIME: Final = 0.2
"""Seconds assumed for a request before any was seen; a guess that a dozen requests
replace."""

MAX_FACTOR: Final = 8.0
MIN_FACTOR: Final = 0.25
"""Bounds of a target's factor: a target that seems to stand still still gets a key now
and then, else one would never see it recover."""

ERROR_WEIGHT: Final = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityBounds:
    """Requests a second that a target bears at least and at most, by what is known."""

    low: float
    high: float


class TargetSpeed:
    """Mean time of a service's requests, and each target's factor of it."""

    def __init__(self) -> None:
        self.mean_time = INITIAL_REQUEST_TIME
        self._factors_by_target: dict[str, float] = {}
        self._steady_factors_by_target: dict[str, float] = {}
        self._errors_by_target: dict[str, float] = {}

    @callback
    def add(self, target: str, seconds: float, *, failed: bool) -> None:
        """Take one request's time at a target."""
        errors = self._errors_by_target.get(target, 0.0)
        self._errors_by_target[target] = errors + ERROR_WEIGHT * (failed - errors)
        if failed:
            return
        factor = self._factors_by_target.get(target, 1.0)
        seen = min(max(seconds / self.mean_time, MIN_FACTOR), MAX_FACTOR)
        self._note_factor(target, seen)
        expected = seconds / max(factor, MIN_FACTOR)
        self.mean_time += OBSERVATION_WEIGHT / 4 * (expected - self.mean_time)

    @callback
    def add_abandoned(self, target: str, seconds: float) -> None:
        """Take a request that was given up: it would have taken at least as long.

        A target that turned slow answers none in time; counted by its answers alone it
        would look as fast as before. A shorter time than usual says nothing.
        """
        factor = self._factors_by_target.get(target, 1.0)
        if seconds > factor * self.mean_time:
            self._note_factor(target, min(seconds / self.mean_time, MAX_FACTOR))

    @callback
    def capacity(self, target: str, slots: int) -> float:
        """Return the requests a second that a target can bear."""
        factor = self._factors_by_target.get(target, 1.0)
        good = 1.0 - min(self._errors_by_target.get(target, 0.0), 0.9)
        return slots * good / (self.mean_time * max(factor, MIN_FACTOR))

    @callback
    def capacity_bounds(self, target: str, slots: int) -> CapacityBounds:
        """Return what a target bears by its last requests and by many of them.

        A target that turned slow or fast shows by its last requests first, so the two
        lie apart until the many agree.
        """
        usual = self.capacity(target, slots)
        factor = self._factors_by_target.get(target, 1.0)
        steady_factor = self._steady_factors_by_target.get(target, 1.0)
        steady = usual * max(factor, MIN_FACTOR) / max(steady_factor, MIN_FACTOR)
        return CapacityBounds(low=min(usual, steady), high=max(usual, steady))

    @callback
    def retain_targets(self, targets: set[str]) -> None:
        """Drop what is known of all other targets."""
        for by_target in (
            self._factors_by_target,
            self._steady_factors_by_target,
            self._errors_by_target,
        ):
            for target in by_target.keys() - targets:
                del by_target[target]

    @callback
    def _note_factor(self, target: str, seen: float) -> None:
        """Take a request's time as a multiple of the mean."""
        for factors, weight in (
            (self._factors_by_target, OBSERVATION_WEIGHT),
            (self._steady_factors_by_target, LONG_TERM_WEIGHT),
        ):
            factor = factors.get(target, 1.0)
            factors[target] = factor + weight * (seen - factor)
