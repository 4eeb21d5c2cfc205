"""Runs one experiment from options to report."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from pathlib import Path
import signal
from tempfile import TemporaryDirectory

from swiftpin.bench.experiment import Experiment
from swiftpin.bench.experiment_options import ExperimentOptions
from swiftpin.bench.experiment_report import ExperimentReport
from swiftpin.bench.machine_facts import read_machine_facts
from swiftpin.bench.progress import Progress
from swiftpin.core import monotonic_now


@contextmanager
def working_directory(keep: Path | None) -> Iterator[Path]:
    """Yield a directory for logs and traces, removed afterwards unless kept."""
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        yield keep
        return
    with TemporaryDirectory(prefix="swiftpin-bench-") as directory:
        yield Path(directory)


def cancel_on_terminate() -> None:
    """Let SIGTERM end the present task in order, as Ctrl-C does."""
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)


async def async_run_experiment(
    experiment: Experiment, options: ExperimentOptions, progress: Progress
) -> ExperimentReport:
    """Run the experiment and return its report."""
    cancel_on_terminate()
    machine = read_machine_facts()
    started_at = datetime.now(UTC).isoformat(timespec="seconds")
    start = monotonic_now()
    result = await experiment.async_run(options, progress)
    return ExperimentReport(
        experiment=experiment.name,
        seed=options.seed,
        quick=options.quick,
        started_at=started_at,
        seconds=monotonic_now() - start,
        machine=machine,
        result=result,
    )
