"""Control cost of an instance at rest, over the numbers of gateways and targets."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
from statistics import mean
from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.experiment import Experiment
from swiftpin.bench.experiment_options import ExperimentOptions
from swiftpin.bench.experiments.slope_point import SlopePoint
from swiftpin.bench.experiments.slopes_result import SlopesResult, fit_points
from swiftpin.bench.processes.usage_window import UsageMeter
from swiftpin.bench.progress import Progress
from swiftpin.core import monotonic_now

SERVICE: Final = "desk"
TARGETS_PER_GROUP: Final = 5
MEGABYTE: Final = 1_000_000
PERCENT: Final = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class _Plan:
    """Sizes to measure; times in seconds."""

    gateways: tuple[int, ...]
    targets: tuple[int, ...]
    base_gateways: int
    base_targets: int
    settle: float
    measure: float

    def sizes(self) -> list[tuple[int, int]]:
        """Return numbers of gateways and targets, smallest first."""
        over_gateways = {(number, self.base_targets) for number in self.gateways}
        over_targets = {(self.base_gateways, number) for number in self.targets}
        return sorted(over_gateways | over_targets)


FULL_PLAN: Final = _Plan(
    gateways=(3, 9, 18, 36),
    targets=(10, 20, 40),
    base_gateways=9,
    base_targets=20,
    settle=8.0,
    measure=20.0,
)
QUICK_PLAN: Final = _Plan(
    gateways=(3, 9),
    targets=(10, 20),
    base_gateways=3,
    base_targets=10,
    settle=2.0,
    measure=5.0,
)


async def _async_point(
    plan: _Plan, gateways: int, targets: int, directory: Path
) -> SlopePoint:
    """Start a cluster of one size and measure it at rest."""
    service = ServiceSpec(
        name=SERVICE, targets=targets, groups=targets // TARGETS_PER_GROUP
    )
    spec = ClusterSpec(services=(service,), gateways=gateways, traced=False)
    async with Cluster(spec, directory) as cluster:
        await cluster.async_start()
        await asyncio.sleep(plan.settle)
        return await _async_measure(cluster, plan.measure)


async def _async_measure(cluster: Cluster, seconds: float) -> SlopePoint:
    """Return the costs over the next seconds."""
    start = monotonic_now()
    calls_before = await cluster.platform.async_store_calls()
    meters = [UsageMeter(process, monotonic_now()) for process in cluster.gateways]
    await asyncio.sleep(seconds)
    windows = [meter.window(monotonic_now()) for meter in meters]
    calls = (await cluster.platform.async_store_calls()).since(calls_before)
    elapsed = monotonic_now() - start
    cpu = [PERCENT * window.cores for window in windows]
    resident = [window.resident / MEGABYTE for window in windows]
    return SlopePoint(
        gateways=len(windows),
        targets=len(cluster.layout.targets_by_id),
        groups_per_gateway=cluster.spec.services[0].groups / len(windows),
        cpu_percent=mean(cpu),
        cpu_percent_max=max(cpu),
        resident_mb=mean(resident),
        resident_mb_max=max(resident),
        sent_bytes=mean(window.written_rate for window in windows),
        store_calls=calls.total / elapsed,
        store_writes=calls.writes / elapsed,
    )


async def async_slopes(options: ExperimentOptions, progress: Progress) -> SlopesResult:
    """Run the experiment."""
    plan = QUICK_PLAN if options.quick else FULL_PLAN
    points = []
    for gateways, targets in plan.sizes():
        progress.show(f"{gateways} gateways, {targets} targets")
        directory = options.directory / f"{gateways}-{targets}"
        points.append(await _async_point(plan, gateways, targets, directory))
    return SlopesResult(
        targets_per_group=TARGETS_PER_GROUP,
        seconds_per_point=plan.measure,
        points=points,
        fits=fit_points(points, plan.base_gateways, plan.base_targets),
    )


SLOPES: Final = Experiment(
    name="slopes",
    summary="control cost of an instance at rest over gateways and targets",
    async_run=async_slopes,
)
