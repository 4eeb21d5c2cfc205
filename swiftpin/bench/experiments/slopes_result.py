"""Result of the slopes experiment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.bench.experiments.linear_fit import LinearFit, fit_line
from swiftpin.bench.experiments.slope_point import SlopePoint

VALUES: Final = ("cpu_percent", "resident_mb", "sent_bytes", "store_calls")
X_GATEWAYS: Final = "gateways"
X_TARGETS: Final = "targets"
X_GROUPS: Final = "groups_per_gateway"


@dataclass(frozen=True, kw_only=True, slots=True)
class SlopesResult:
    """The points; lines over gateways and over targets, the other one fixed.

    Targets are divided into groups of `targets_per_group`.
    """

    targets_per_group: int
    seconds_per_point: float
    points: list[SlopePoint]
    fits: list[LinearFit]


def fit_points(
    points: list[SlopePoint], base_gateways: int, base_targets: int
) -> list[LinearFit]:
    """Return lines through the points at the base of the other number.

    Lines over the leases that a gateway holds go through all points: what an
    instance costs at rest follows them more than the sizes by themselves.
    """
    fits = []
    for x, fixed, base in (
        (X_GATEWAYS, X_TARGETS, base_targets),
        (X_TARGETS, X_GATEWAYS, base_gateways),
    ):
        chosen = [point for point in points if getattr(point, fixed) == base]
        fits += [_fit(chosen, x, value) for value in VALUES]
    fits += [_fit(points, X_GROUPS, value) for value in VALUES]
    return [fit for fit in fits if fit is not None]


def _fit(points: list[SlopePoint], x: str, value: str) -> LinearFit | None:
    """Return the line of one value over one number, None where it has one point."""
    xs = [float(getattr(point, x)) for point in points]
    return fit_line(x, value, xs, [getattr(point, value) for point in points])
