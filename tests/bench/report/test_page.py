"""Tests of the page of results."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from swiftpin.bench.experiment_report import ExperimentReport
from swiftpin.bench.experiments.slopes_result import SlopesResult, fit_points
from swiftpin.bench.machine_facts import read_machine_facts
from swiftpin.bench.report.page import read_report, render_report, write_page
from tests.bench.slope_points import slope_point


@pytest.fixture
def report() -> ExperimentReport:
    """Return the report of a small slopes experiment."""
    points = [slope_point(*size) for size in ((3, 10), (9, 10), (9, 20), (18, 10))]
    result = SlopesResult(
        targets_per_group=5,
        seconds_per_point=5.0,
        points=points,
        fits=fit_points(points, 9, 10),
    )
    return ExperimentReport(
        experiment="slopes",
        seed=1,
        quick=True,
        started_at="2026-01-01T00:00:00+00:00",
        seconds=60.0,
        machine=read_machine_facts(),
        result=result,
    )


def test_page_shows_recorded_result(report: ExperimentReport, tmp_path: Path) -> None:
    """The page made of a written JSON result has its figures and plots."""
    path = tmp_path / "slopes.json"
    path.write_bytes(orjson.dumps(report))
    write_page([path], tmp_path / "bench.html")
    page = (tmp_path / "bench.html").read_text()
    assert page.count("<svg") == 4
    assert "<td>18</td>" in page


def test_experiment_without_its_own_part_is_shown(
    report: ExperimentReport, tmp_path: Path
) -> None:
    """Values and records of a result that the page knows nothing of are shown."""
    path = tmp_path / "other.json"
    path.write_bytes(orjson.dumps(report).replace(b'"slopes"', b'"other"'))
    html = render_report(read_report(path))
    assert "<td>targets_per_group</td><td>5</td>" in html
    assert "<th>groups_per_gateway</th>" in html
    assert html.count("<tr>") > len(report.result.points)


def test_fits_find_the_lines(report: ExperimentReport) -> None:
    """Slopes come out of points on a line, over gateways and over targets."""
    fits_by_name = {(fit.x, fit.value): fit for fit in report.result.fits}
    over_gateways = fits_by_name["gateways", "cpu_percent"]
    assert over_gateways.slope == pytest.approx(0.5)
    assert over_gateways.intercept == pytest.approx(2.0)
    assert over_gateways.r2 == pytest.approx(1.0)
    assert fits_by_name["targets", "cpu_percent"].slope == pytest.approx(0.1)
    assert fits_by_name["targets", "resident_mb"].r2 == 1.0
