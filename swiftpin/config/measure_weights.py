"""The users' weights of the three measures."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class MeasureWeights:
    """Relative weights (no unit) that placement decisions add up."""

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable: float = 1.0
