"""Time limits and retry limits that operators set for a deployment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Limits of one deployment; all times are in seconds."""

    drain_limit: float
    """Time for which a target that announced its drain may still receive requests."""

    apply_limit: float
    """Time within which every instance must apply an accepted configuration."""

    shutdown_grace: float
    """Time between SIGTERM and SIGKILL."""

    max_hold: float
    """Maximum duration of a grant that a target accepts."""

    retry_ratio: float
    """Retries allowed per request of a service."""

    retry_window: float
    """Length of the window in which retries are counted."""

    retry_slack: float
    """Retries allowed per window in addition to the ratio."""

    stability_period: float
    """Time without disturbances after which an instance counts as stable again."""

    evacuation_limit: float | None = None
    """Time after an accepted evacuation for which the targets of its zone may still
    receive requests; None if the deployment does not evacuate zones."""

    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    """Requests that a cold target may receive per second: `cold_overshoot` times its
    declared rate, plus `cold_slack`."""

    def cold_limit(self, rate: float) -> float:
        """Return the maximum number of requests that a cold target may receive.

        The limit applies to any one second and to all instances together; `rate` is
        the target's declared rate in requests per second.
        """
        return rate * self.cold_overshoot + self.cold_slack
