"""Time bounds and limits that the operators set for a deployment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Limits of one deployment; times in seconds."""

    drain: float
    """How long after its announcement a leaving target may still get requests."""

    apply: float
    """How long after its acceptance a configuration may take to be in force."""

    grace: float
    """Time between SIGTERM and SIGKILL."""

    longest_hold: float
    """Longest time for which a target accepts a grant."""

    retry_ratio: float
    """Second sends allowed for each request of a service."""

    retry_window: float
    """Length of the window over which second sends are counted."""

    retry_slack: float
    """Second sends allowed in a window beyond the ratio."""

    stability: float
    """Calm time after which a disturbed instance counts as undisturbed again."""
