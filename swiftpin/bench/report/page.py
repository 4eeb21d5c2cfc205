"""The page of all results."""

from __future__ import annotations

from collections.abc import Callable
from html import escape
from pathlib import Path
from typing import Any, Final

from pydantic import TypeAdapter

from swiftpin.bench.experiment_report import ExperimentReport
from swiftpin.bench.experiments.failover_result import FailoverResult
from swiftpin.bench.experiments.passthrough_result import PassthroughResult
from swiftpin.bench.experiments.slopes_result import SlopesResult
from swiftpin.bench.report.failover_section import failover_section
from swiftpin.bench.report.generic_section import generic_section
from swiftpin.bench.report.passthrough_section import passthrough_section
from swiftpin.bench.report.section import Section
from swiftpin.bench.report.slopes_section import slopes_section
from swiftpin.bench.report.table import Table

STYLE: Final = (
    "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #999;padding:.2em .6em;text-align:right}"
)

_REPORT_ADAPTER: Final = TypeAdapter(ExperimentReport)


def _section_maker(
    result_type: type[Any], make: Callable[[Any], Section]
) -> Callable[[Any], Section]:
    """Return a function from a decoded JSON result to its part of the page."""
    adapter = TypeAdapter(result_type)

    def make_section(document: Any) -> Section:  # noqa: ANN401 - decoded JSON
        """Validate the result and return its part of the page."""
        return make(adapter.validate_python(document))

    return make_section


SECTIONS_BY_EXPERIMENT: Final[dict[str, Callable[[Any], Section]]] = {
    "failover": _section_maker(FailoverResult, failover_section),
    "passthrough": _section_maker(PassthroughResult, passthrough_section),
    "slopes": _section_maker(SlopesResult, slopes_section),
}


def read_report(path: Path) -> ExperimentReport:
    """Return a recorded report; its result stays decoded JSON."""
    return _REPORT_ADAPTER.validate_json(path.read_bytes())


def render_report(report: ExperimentReport) -> str:
    """Return the HTML of one result."""
    section = _make_section(report)
    parts = [f"<h2>{escape(report.experiment)}</h2>", _facts_table(report).html()]
    parts += [table.html() for table in section.tables]
    parts += section.plots
    return "\n".join(parts)


def _make_section(report: ExperimentReport) -> Section:
    """Return the part of the page about one result."""
    make_section = SECTIONS_BY_EXPERIMENT.get(report.experiment)
    if make_section is None:
        return generic_section(report.result)
    return make_section(report.result)


def render_page(reports: list[ExperimentReport]) -> str:
    """Return the whole page."""
    body = "\n".join(render_report(report) for report in reports)
    return (
        '<!DOCTYPE html><html lang="en"><meta charset="utf-8">'
        f"<title>swiftpin bench</title><style>{STYLE}</style>"
        f"<h1>swiftpin bench</h1>\n{body}\n</html>\n"
    )


def write_page(paths: list[Path], output: Path) -> None:
    """Write the page of recorded results."""
    output.write_text(render_page([read_report(path) for path in paths]))


def _facts_table(report: ExperimentReport) -> Table:
    """Return how and where the experiment ran."""
    machine = report.machine
    return Table(
        titles=("started", "seed", "quick", "processor", "cores", "load at start"),
        rows=(
            (
                report.started_at,
                report.seed,
                report.quick,
                machine.processor,
                machine.cores,
                machine.load_average,
            ),
        ),
    )
