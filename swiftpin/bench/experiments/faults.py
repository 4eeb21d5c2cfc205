"""Random faults of every kind under the users' mixed load."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.experiment import Experiment
from swiftpin.bench.experiment_options import ExperimentOptions
from swiftpin.bench.experiments.faults_bookings import summarize_bookings
from swiftpin.bench.experiments.faults_crash_caller import FaultsCrashCaller
from swiftpin.bench.experiments.faults_driver import FaultsDriver
from swiftpin.bench.experiments.faults_keeper import FaultsKeeper
from swiftpin.bench.experiments.faults_result import (
    FaultsResult,
    FaultsRun,
    sum_runs,
)
from swiftpin.bench.experiments.faults_schedule import FaultsSchedule
from swiftpin.bench.experiments.faults_scheduled import ScheduledEpisode
from swiftpin.bench.experiments.faults_site import GATEWAYS, FaultsSite, site_of
from swiftpin.bench.experiments.judged_trace import judge_traces
from swiftpin.bench.load.load_driver import LoadDriver
from swiftpin.bench.load.load_mode import OpenLoop
from swiftpin.bench.load.load_result import LoadResult
from swiftpin.bench.load.load_run import LoadRun
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.progress import Progress
from swiftpin.trace.reader import read_traces

CLASS_BOOKING: Final = "booking"
RATE: Final = 300.0
KEYS: Final = 300
WORKERS: Final = 2
FAULTS: Final = 25.0
"""Seconds of load in which episodes begin."""
FAULTS_QUICK: Final = 12.0
QUIET: Final = 12.0
"""Seconds of load after the last episode may have begun; none lasts longer than 6."""
DRAIN: Final = 30.0
ATTEMPT_TIMEOUT: Final = 1.5
REQUEST_TIMEOUT_MS: Final = 5_000
UP_TIMEOUT: Final = 60.0
CRASH_TRACE: Final = "crash-caller.trace"


class _SeedRun:
    """One seed in a cluster of its own."""

    def __init__(
        self, cluster: Cluster, site: FaultsSite, seed: int, duration: float
    ) -> None:
        self._cluster = cluster
        self._site = site
        self._seed = seed
        self._duration = duration
        self._keeper = FaultsKeeper(cluster)
        self._schedule = self._make_schedule()

    async def async_run(self) -> FaultsRun:
        """Load the cluster, let the faults happen, and judge what came of it."""
        await self._cluster.async_start()
        trace_path = self._cluster.directory / CRASH_TRACE
        entries = self._cluster.layout.entries
        async with FaultsCrashCaller(entries, trace_path, self._seed) as crash_caller:
            driver = FaultsDriver(self._cluster, self._keeper, crash_caller)
            run = await LoadDriver(self._cluster.supervisor).async_start(self._load())
            await self._async_faults(driver, run)
        load = await run.async_result()
        await self._cluster.supervisor.async_end()
        traces = [*self._cluster.trace_paths(), *run.trace_paths]
        return self._result(driver, load, traces, trace_path)

    async def _async_faults(self, driver: FaultsDriver, run: LoadRun) -> None:
        """Let the faults happen and wait until everything is up again."""
        keeping = asyncio.create_task(self._keeper.async_keep())
        try:
            await driver.async_run(self._schedule, run)
            await self._keeper.async_wait_all_up(UP_TIMEOUT)
        finally:
            keeping.cancel()
            await asyncio.gather(keeping, return_exceptions=True)

    def _make_schedule(self) -> tuple[ScheduledEpisode, ...]:
        """Return the seed's episodes."""
        layout = self._cluster.layout
        schedule = FaultsSchedule(
            self._seed,
            gateways=layout.gateways_by_name,
            targets=layout.targets_by_id,
            desk=self._site.desk,
        )
        return schedule.episodes(self._duration)

    def _load(self) -> LoadSpec:
        """Return the load, alike for all keys so that all are observed."""
        return LoadSpec(
            entries=self._cluster.layout.entries,
            classes=self._site.load_classes,
            mode=OpenLoop(rate=RATE),
            duration=self._duration + QUIET,
            warmup=0.0,
            workers=WORKERS,
            keys=KEYS,
            zipf_exponent=0.0,
            seed=self._seed,
            attempt_timeout=ATTEMPT_TIMEOUT,
            request_timeout_ms=REQUEST_TIMEOUT_MS,
            drain=DRAIN,
            traced=True,
        )

    def _result(
        self,
        driver: FaultsDriver,
        load: LoadResult,
        traces: list[Path],
        crash_trace: Path,
    ) -> FaultsRun:
        """Return the result with the traces' judgements.

        Requests that are meant to crash their target count as nobody's booking.
        """
        return FaultsRun(
            seed=self._seed,
            site=self._site.name,
            schedule=tuple(str(item) for item in self._schedule),
            skipped=len(driver.skipped),
            target_crashes=self._keeper.crashes,
            crash_tries_by_result=dict(driver.crash_tries_by_result),
            unexpected_ends=tuple(self._keeper.unexpected_ends),
            load=load,
            bookings=summarize_bookings(
                load.classes_by_name[CLASS_BOOKING], read_traces(traces)
            ),
            judgements=judge_traces([*traces, crash_trace]),
        )


async def async_faults(options: ExperimentOptions, progress: Progress) -> FaultsResult:
    """Run each seed in a fresh cluster, one after another."""
    duration = FAULTS_QUICK if options.quick else FAULTS
    runs: list[FaultsRun] = []
    for seed in range(options.seed, options.seed + (options.repeats or 1)):
        site = site_of(seed)
        progress.show(f"seed {seed} at {site.name}")
        directory = options.directory / f"seed-{seed}"
        async with Cluster(site.spec, directory) as cluster:
            run = await _SeedRun(cluster, site, seed, duration).async_run()
        progress.show(f"seed {seed}: {run.violations} violations")
        runs.append(run)
    return FaultsResult(
        gateways=GATEWAYS,
        rate=RATE,
        duration=duration + QUIET,
        totals=sum_runs(runs),
        runs=runs,
    )


FAULTS_EXPERIMENT: Final = Experiment(
    name="faults",
    summary="random faults of every kind under the users' mixed load",
    async_run=async_faults,
)
