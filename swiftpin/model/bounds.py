"""Time bounds and limits that the operators set for a deployment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Limits of one deployment; times in seconds."""

    drain_limit: float
    """How long after its announcement a leaving target may still get requests."""

    apply_limit: float
    """How long after its acceptance a configuration may take to be in force."""

    shutdown_grace: float
    """Time between SIGTERM and SIGKILL."""

    max_hold: float
    """Longest time for which a target accepts a grant."""

    retry_ratio: float
    """Second sends allowed for each request of a service."""

    retry_window: float
    """Length of the window over which second sends are counted."""

    retry_slack: float
    """Second sends allowed in a window beyond the ratio."""

    stability_period: float
    """Calm time after which a disturbed instance counts as undisturbed again."""

    evacuation_limit: float | None = None
    """How long after an evacuation's acceptance the targets of its zone may still get
    requests; None where zones are not evacuated."""

    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    """Requests that a cold target may get within a second, as a multiple of what it
    bears and beyond that."""

    def cold_limit(self, rate: float) -> float:
        """Return how many requests a cold target that bears `rate` a second may get.

        Within any second, from all instances together.
        """
        return rate * self.cold_overshoot + self.cold_slack
