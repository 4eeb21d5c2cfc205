"""Part of the page about the pass-through experiment."""

from __future__ import annotations

from swiftpin.bench.experiments.passthrough_result import PassthroughResult
from swiftpin.bench.experiments.passthrough_sample import (
    Contender,
    PassthroughSample,
    Phase,
)
from swiftpin.bench.report.plot import drawn_plot
from swiftpin.bench.report.section import Section
from swiftpin.bench.report.table import Table


def passthrough_section(result: PassthroughResult) -> Section:
    """Return ratios, samples and a plot of the limits."""
    ratios = Table(
        titles=("ratio gateway : bare proxy", "median"),
        rows=(
            ("requests a second at the limit", result.rate_ratio),
            ("processor time a request", result.cpu_ratio),
        ),
    )
    rows = tuple(_row(item) for item in result.samples)
    samples = Table(
        titles=(
            "phase",
            "contender",
            "repeat",
            "requests/s",
            "p50 ms",
            "p99 ms",
            "CPU ms a request",
            "failed",
        ),
        rows=rows,
    )
    return Section(tables=(ratios, samples), plots=(_plot(result),))


def _row(item: PassthroughSample) -> tuple[object, ...]:
    """Return the table's row of one sample."""
    return (
        item.phase,
        item.contender,
        item.repeat + 1,
        item.rate,
        item.p50_ms,
        item.p99_ms,
        item.cpu_ms,
        item.failed,
    )


def _plot(result: PassthroughResult) -> str:
    """Return the plot of the limits by repeat."""
    with drawn_plot("Limit of one process", "repeat", "requests/s") as plot:
        for contender in Contender:
            chosen = [
                item
                for item in result.samples
                if item.contender is contender and item.phase is Phase.LIMIT
            ]
            repeats = [item.repeat + 1 for item in chosen]
            rates = [item.rate for item in chosen]
            plot.axes.plot(repeats, rates, marker="o", label=contender.value)
        plot.axes.set_ylim(bottom=0)
        plot.axes.legend()
    return plot.svg
