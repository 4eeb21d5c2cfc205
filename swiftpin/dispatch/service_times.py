"""Running estimates of how long requests take at a target."""

from __future__ import annotations

import math
from typing import Final

from swiftpin.core import callback

WEIGHT: Final = 0.2
HALF_LIFE: Final = 5.0


class ServiceTimes:
    """Moving averages of service times in seconds, one for each class of requests.

    An estimate that is not renewed fades by half every `HALF_LIFE`. Were it kept,
    one slow spell could refuse a whole class early for ever: nothing is sent, so
    nothing corrects the estimate.
    """

    def __init__(self) -> None:
        self._average_by_class: dict[str, float] = {}
        self._sampled_at_by_class: dict[str, float] = {}

    @callback
    def add(self, class_name: str, seconds: float, now: float) -> None:
        """Take one measured service time into account."""
        average = self._average_by_class.get(class_name, seconds)
        self._average_by_class[class_name] = average + WEIGHT * (seconds - average)
        self._sampled_at_by_class[class_name] = now

    @callback
    def keep_only(self, class_names: frozenset[str]) -> None:
        """Forget all others."""
        for class_name in self._average_by_class.keys() - class_names:
            del self._average_by_class[class_name]
            del self._sampled_at_by_class[class_name]

    @callback
    def estimate(self, class_name: str, now: float) -> float:
        """Return the expected service time; 0 when nothing is known."""
        average = self._average_by_class.get(class_name)
        if average is None:
            return 0.0
        age = now - self._sampled_at_by_class[class_name]
        if age <= 0:
            return average
        return average * math.exp2(-age / HALF_LIFE)
