"""Straight line through measured points."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import correlation, linear_regression
from typing import Final

MIN_POINTS: Final = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class LinearFit:
    """`value = intercept + slope * x`; `r2` is 1.0 for points on the line."""

    x: str
    value: str
    slope: float
    intercept: float
    r2: float
    points: int


def fit_line(
    x_name: str, value_name: str, xs: list[float], values: list[float]
) -> LinearFit | None:
    """Return the least-squares line, None for fewer than two different x."""
    if len(set(xs)) < MIN_POINTS:
        return None
    slope, intercept = linear_regression(xs, values)
    # The correlation of a constant is undefined; a flat line fits it exactly.
    r2 = 1.0 if len(set(values)) == 1 else correlation(xs, values) ** 2
    return LinearFit(
        x=x_name,
        value=value_name,
        slope=slope,
        intercept=intercept,
        r2=r2,
        points=len(xs),
    )
