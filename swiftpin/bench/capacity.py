"""Tables of an instance's control cost out of a recorded slopes experiment.

`python -m swiftpin.bench.capacity [RESULT.json] [--at GATEWAYSxTARGETS ...]`
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from pathlib import Path
import sys
from typing import Final, Self

from pydantic import TypeAdapter

from swiftpin.bench.experiment_report import ExperimentReport
from swiftpin.bench.experiments.slopes_result import (
    VALUES,
    X_GATEWAYS,
    X_TARGETS,
    SlopesResult,
)
from swiftpin.bench.report.page import read_report
from swiftpin.bench.report.slopes_section import fits_table, points_table
from swiftpin.bench.report.table import Table

DEFAULT_RESULT: Final = Path("docs/measurements/slopes.json")


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetSize:
    """Numbers of gateways and targets to extrapolate to."""

    gateways: int
    targets: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the size written as `GATEWAYSxTARGETS`."""
        gateways, _, targets = text.partition("x")
        return cls(gateways=int(gateways), targets=int(targets))


def predict(result: SlopesResult, value: str, size: FleetSize) -> float | None:
    """Return a value at a size by the fitted lines, None where one is missing.

    Both lines share the point at the base of the other number; the line over
    gateways is shifted by what the line over targets adds from there.
    """
    fits_by_x = {fit.x: fit for fit in result.fits if fit.value == value}
    over_gateways = fits_by_x.get(X_GATEWAYS)
    over_targets = fits_by_x.get(X_TARGETS)
    if over_gateways is None or over_targets is None:
        return None
    at_gateways = over_gateways.intercept + over_gateways.slope * size.gateways
    return at_gateways + over_targets.slope * (size.targets - base_targets(result))


def base_targets(result: SlopesResult) -> int:
    """Return the number of targets at which gateways were varied."""
    gateways_by_targets: dict[int, int] = {}
    for point in result.points:
        count = gateways_by_targets.get(point.targets, 0)
        gateways_by_targets[point.targets] = count + 1
    return max(gateways_by_targets, key=lambda targets: gateways_by_targets[targets])


def predictions_table(result: SlopesResult, sizes: list[FleetSize]) -> Table:
    """Return what the lines say at some sizes; beyond the measured ones a guess."""
    return Table(
        titles=("gateways", "targets", *VALUES),
        rows=tuple(
            (
                size.gateways,
                size.targets,
                *(predict(result, value, size) for value in VALUES),
            )
            for size in sizes
        ),
    )


def render(report: ExperimentReport, sizes: list[FleetSize]) -> str:
    """Return the tables in Markdown."""
    result = TypeAdapter(SlopesResult).validate_python(report.result)
    machine = report.machine
    parts = [
        f"Measured {report.started_at} on {machine.cores} cores of "
        f"{machine.processor}, {result.seconds_per_point:g} s a point, "
        f"load average at the start {machine.load_average:.1f}"
        f"{', quick run' if report.quick else ''}.\n",
        points_table(result).markdown(),
        fits_table(result).markdown(),
    ]
    if sizes:
        parts.append(predictions_table(result, sizes).markdown())
    return "\n".join(parts)


def main() -> int:
    """Print the tables and return the exit status."""
    parser = argparse.ArgumentParser(prog="script/capacity", description=__doc__)
    parser.add_argument("result", nargs="?", type=Path, default=DEFAULT_RESULT)
    parser.add_argument(
        "--at",
        action="append",
        default=[],
        type=FleetSize.parse,
        metavar="GATEWAYSxTARGETS",
        help="also say what the fitted lines give there; may be given repeatedly",
    )
    arguments = parser.parse_args()
    sys.stdout.write(render(read_report(arguments.result), arguments.at))
    return 0


if __name__ == "__main__":
    sys.exit(main())
