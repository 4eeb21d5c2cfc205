"""Part of the page about the slopes experiment."""

from __future__ import annotations

from swiftpin.bench.experiments.slope_point import SlopePoint
from swiftpin.bench.experiments.slopes_result import SlopesResult
from swiftpin.bench.report.plot import drawn_plot
from swiftpin.bench.report.section import Section
from swiftpin.bench.report.table import Table

VALUES_PLOTTED = {
    "cpu_percent": "CPU % of a core",
    "resident_mb": "MB",
    "sent_bytes": "bytes/s",
    "store_calls": "store calls/s, whole cluster",
}


def slopes_section(result: SlopesResult) -> Section:
    """Return points, fits and a plot of each value over the gateways."""
    return Section(
        tables=(points_table(result), fits_table(result)),
        plots=tuple(_plot(result, value) for value in VALUES_PLOTTED),
    )


def points_table(result: SlopesResult) -> Table:
    """Return the measured points."""
    return Table(
        titles=(
            "gateways",
            "targets",
            "groups a gateway",
            "CPU %",
            "CPU % max",
            "MB",
            "MB max",
            "sent bytes/s",
            "store calls/s",
            "of these writes/s",
        ),
        rows=tuple(_row(point) for point in result.points),
    )


def fits_table(result: SlopesResult) -> Table:
    """Return the fitted lines."""
    return Table(
        titles=("value", "over", "slope", "intercept", "R²", "points"),
        rows=tuple(
            (fit.value, fit.x, fit.slope, fit.intercept, fit.r2, fit.points)
            for fit in result.fits
        ),
    )


def _row(point: SlopePoint) -> tuple[object, ...]:
    """Return the table's row of one point."""
    return (
        point.gateways,
        point.targets,
        point.groups_per_gateway,
        point.cpu_percent,
        point.cpu_percent_max,
        point.resident_mb,
        point.resident_mb_max,
        point.sent_bytes,
        point.store_calls,
        point.store_writes,
    )


def _plot(result: SlopesResult, value: str) -> str:
    """Return the plot of one value over the gateways, a line for each target count."""
    with drawn_plot(value, "gateways", VALUES_PLOTTED[value]) as plot:
        for targets in sorted({point.targets for point in result.points}):
            chosen = [point for point in result.points if point.targets == targets]
            gateways = [point.gateways for point in chosen]
            values = [getattr(point, value) for point in chosen]
            plot.axes.plot(gateways, values, marker="o", label=f"{targets} targets")
        plot.axes.set_ylim(bottom=0)
        plot.axes.legend()
    return plot.svg
