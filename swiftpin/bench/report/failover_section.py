"""Part of the page about the failover experiment."""

from __future__ import annotations

from swiftpin.bench.experiments.failover_result import FailoverResult, ScenarioResult
from swiftpin.bench.report.plot import drawn_plot
from swiftpin.bench.report.section import Section
from swiftpin.bench.report.table import Table


def failover_section(result: FailoverResult) -> Section:
    """Return a table of unserved times, one of judgements, and a plot."""
    return Section(
        tables=(failover_table(result), judgements_table(result)),
        plots=(_plot(result),),
    )


def failover_table(result: FailoverResult) -> Table:
    """Return what each scenario cost."""
    return Table(
        titles=(
            "scenario",
            "repeat",
            "keys unserved",
            "p50 s",
            "p99 s",
            "max s",
            "requests",
            "unanswered",
            "unknown",
            "store calls/s before",
            "after",
            "generator's lag p99 ms",
        ),
        rows=tuple(_row(run) for run in result.runs),
    )


def judgements_table(result: FailoverResult) -> Table:
    """Return what the trace checker found."""
    return Table(
        titles=("scenario", "repeat", "judgement", "judged", "violations"),
        rows=tuple(
            (run.scenario, run.repeat + 1, item.judgement, item.judged, item.violations)
            for run in result.runs
            for item in run.judgements
        ),
    )


def _row(run: ScenarioResult) -> tuple[object, ...]:
    """Return the table's row of one run."""
    unserved = run.load.unserved
    classes = run.load.classes_by_name.values()
    return (
        run.scenario,
        run.repeat + 1,
        unserved.keys,
        unserved.p50,
        unserved.p99,
        unserved.max,
        run.load.scheduled,
        sum(item.unanswered for item in classes),
        sum(item.unknown for item in classes),
        run.calls_at_rest,
        run.calls_after_fault,
        run.load.send_lag_p99_ms,
    )


def _plot(result: FailoverResult) -> str:
    """Return the longest unserved time of a key in each run."""
    with drawn_plot("Longest time a key was unserved", "", "seconds") as plot:
        names = [f"{run.scenario} {run.repeat + 1}" for run in result.runs]
        plot.axes.barh(names, [run.load.unserved.max for run in result.runs])
        plot.axes.set_xlabel("seconds")
        plot.axes.set_ylabel("")
    return plot.svg
