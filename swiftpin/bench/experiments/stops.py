"""Rolling planned stops of gateways and targets under a steady load."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.exceptions import LoadError
from swiftpin.bench.experiment import Experiment
from swiftpin.bench.experiment_options import ExperimentOptions
from swiftpin.bench.experiments.judged_trace import judge_traces
from swiftpin.bench.experiments.stops_counts import (
    NEW_WORK_LIMIT,
    broken_by_error,
    count_cut_answers,
    count_cut_executions,
    count_refused,
    new_work,
    refused_by_result,
)
from swiftpin.bench.experiments.stops_gateways import RollingGateways
from swiftpin.bench.experiments.stops_load import WARMUP, stops_load
from swiftpin.bench.experiments.stops_orders import StopOrders
from swiftpin.bench.experiments.stops_plan import FULL_PLAN, QUICK_PLAN, StopsPlan
from swiftpin.bench.experiments.stops_result import (
    GatewayStop,
    StopsResult,
    TargetStop,
)
from swiftpin.bench.experiments.stops_targets import LeftTarget, RollingTargets
from swiftpin.bench.load.load_driver import LoadDriver
from swiftpin.bench.load.load_result import LoadResult
from swiftpin.bench.load.load_run import LoadRun
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.bench.processes.process_spec import ProcessSpec
from swiftpin.bench.progress import Progress
from swiftpin.core import monotonic_now
from swiftpin.trace.judgement import Judgement
from swiftpin.trace.reader import read_traces
from swiftpin.trace.trace_event import TraceEvent

DESK: Final = "desk"
VAULT: Final = "vault"
TARGETS: Final = 20
GROUPS: Final = 4
GATEWAYS: Final = 9
VAULT_TARGETS: Final = 10
TARGET_STRIDE: Final = 4
"""Targets between two that are stopped, so that they are of several groups."""
REST: Final = 4.0
NAME_BALANCER: Final = "balancer"
MODULE_BALANCER: Final = "swiftpin.bench.experiments.stops_balancer"


class _StopsRun:
    """One run in a cluster of its own."""

    def __init__(
        self, cluster: Cluster, plan: StopsPlan, seed: int, progress: Progress
    ) -> None:
        self._cluster = cluster
        self._plan = plan
        self._seed = seed
        self._progress = progress
        self._orders = StopOrders(cluster.session, cluster.layout.store_url)

    async def async_run(self) -> StopsResult:
        """Load the cluster, stop gateways and targets in turn, and judge."""
        self._progress.show("starting")
        await self._cluster.async_start()
        entry = await self._async_start_balancer()
        load = stops_load(entry, DESK, VAULT, self._plan.load, self._seed)
        run = await LoadDriver(self._cluster.supervisor).async_start(load)
        await run.async_sleep_until(WARMUP + REST)
        self._progress.show("rolling stop of gateways")
        names = list(self._cluster.layout.gateways_by_name)[: self._plan.gateways]
        gateways = await RollingGateways(self._cluster, self._orders).async_run(names)
        self._progress.show("rolling stop of targets")
        left = await self._async_stop_targets()
        all_back_at = monotonic_now()
        if all_back_at > run.end:
            raise LoadError("the load ended before the stops; they took too long")
        self._progress.show("waiting for the end of the load")
        result = await run.async_result()
        await self._cluster.supervisor.async_end()
        return self._result(gateways, left, result, run, all_back_at)

    async def _async_start_balancer(self) -> str:
        """Start the balancer before the gateways and return its address."""
        ports = PortAllocator()
        listen, admin = ports.allocate(), ports.allocate()
        places = self._cluster.layout.gateways_by_name.values()
        await self._cluster.supervisor.async_start_ready(
            ProcessSpec(
                name=NAME_BALANCER,
                module=MODULE_BALANCER,
                arguments=(
                    f"--listen={listen}",
                    f"--admin-listen={admin}",
                    *(f"--instance={item.listen},{item.admin}" for item in places),
                ),
                ready_url=f"http://{admin}/readyz",
            )
        )
        return listen

    async def _async_stop_targets(self) -> list[LeftTarget]:
        """Stop targets of the desk one after the other."""
        places = self._cluster.layout.targets_of(DESK)[::TARGET_STRIDE]
        names = [place.id for place in places[: self._plan.targets]]
        rolling = RollingTargets(self._cluster, self._orders, DESK, GROUPS)
        return await rolling.async_run(names)

    def _result(
        self,
        gateways: list[GatewayStop],
        left: list[LeftTarget],
        load: LoadResult,
        run: LoadRun,
        all_back_at: float,
    ) -> StopsResult:
        """Return the counts and the traces' judgements."""
        paths = [*self._cluster.trace_paths(), *run.trace_paths]
        events = read_traces(paths)
        judgements = judge_traces(paths)
        targets = [_target_stop(events, item) for item in left]
        broken = broken_by_error(load)
        refused = refused_by_result(load)
        classes = load.classes_by_name.values()
        first_stop_at = run.measure_from + REST
        return StopsResult(
            cut_off=count_cut_answers(events) + sum(broken.values()),
            refused=sum(refused.values()),
            doubled=sum(
                item.violations
                for item in judgements
                if item.judgement == Judgement.AT_MOST_ONCE
            ),
            late_starts=sum(item.late_starts for item in targets),
            left_open=sum(item.unanswered + item.unknown for item in classes),
            new_work_limit=NEW_WORK_LIMIT,
            broken_by_error=broken,
            refused_by_result=refused,
            cut_executions=count_cut_executions(events),
            refused_at_rest=count_refused(events, run.measure_from, first_stop_at)
            + count_refused(events, all_back_at, run.end),
            seconds_at_rest=REST + run.end - all_back_at,
            seconds=all_back_at - first_stop_at,
            gateways=gateways,
            targets=targets,
            load=load,
            judgements=judgements,
        )


def _target_stop(events: Sequence[TraceEvent], left: LeftTarget) -> TargetStop:
    """Return what the traces tell of a target that left."""
    work = new_work(events, left.name, left.ordered_at, left.ended_at)
    return TargetStop(
        name=left.name,
        empty_after=left.empty_at - left.ordered_at,
        starts=work.starts,
        last_start_after=work.last_after,
        late_starts=work.late,
    )


async def async_stops(options: ExperimentOptions, progress: Progress) -> StopsResult:
    """Run the experiment."""
    plan = QUICK_PLAN if options.quick else FULL_PLAN
    spec = ClusterSpec(
        services=(
            ServiceSpec(name=DESK, targets=TARGETS, groups=GROUPS),
            ServiceSpec(name=VAULT, keyed=False, targets=VAULT_TARGETS),
        ),
        gateways=GATEWAYS,
        seed=options.seed,
    )
    async with Cluster(spec, options.directory) as cluster:
        return await _StopsRun(cluster, plan, options.seed, progress).async_run()


STOPS: Final = Experiment(
    name="stops",
    summary="rolling planned stops of gateways and targets under a steady load",
    async_run=async_stops,
)
