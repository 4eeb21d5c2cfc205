"""Tests of the capacity tables."""

from __future__ import annotations

import pytest

from swiftpin.bench.capacity import FleetSize, base_targets, predict
from swiftpin.bench.experiments.slopes_result import SlopesResult, fit_points
from tests.bench.slope_points import slope_point


def slopes_result(*sizes: tuple[int, int]) -> SlopesResult:
    """Return the result of points of these sizes around 9 gateways, 20 targets."""
    points = [slope_point(*size) for size in sizes]
    return SlopesResult(
        targets_per_group=5,
        seconds_per_point=1.0,
        points=points,
        fits=fit_points(points, 9, 20),
    )


def test_prediction_adds_both_lines() -> None:
    """A size that was not measured gets what both slopes say."""
    result = slopes_result((3, 20), (9, 20), (18, 20), (9, 10), (9, 40))
    assert base_targets(result) == 20
    size = FleetSize.parse("100x1000")
    predicted = predict(result, "cpu_percent", size)
    assert predicted == pytest.approx(1.0 + 50.0 + 100.0)


def test_no_prediction_without_both_lines() -> None:
    """A line that was not measured is not made up."""
    result = slopes_result((3, 20), (9, 20))
    size = FleetSize(gateways=9, targets=40)
    assert predict(result, "cpu_percent", size) is None
