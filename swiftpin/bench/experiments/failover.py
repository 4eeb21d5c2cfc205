"""Losses of targets, gateways and the store under a steady load."""

from __future__ import annotations

from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.gateway_place import GatewayPlace
from swiftpin.bench.cluster.record_reader import (
    async_read_record,
    busiest_target,
    holder_name,
)
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.cluster.store_calls import StoreCalls
from swiftpin.bench.experiment import Experiment
from swiftpin.bench.experiment_options import ExperimentOptions
from swiftpin.bench.experiments.failover_result import FailoverResult, ScenarioResult
from swiftpin.bench.experiments.fault_action import FreezeGateway, KillGateway
from swiftpin.bench.experiments.fault_injector import FaultInjector
from swiftpin.bench.experiments.fault_scenario import FaultScenario
from swiftpin.bench.experiments.fault_scenarios import failover_scenarios
from swiftpin.bench.experiments.judged_trace import judge_traces
from swiftpin.bench.experiments.load_mixes import desk_classes
from swiftpin.bench.load.load_driver import LoadDriver
from swiftpin.bench.load.load_mode import OpenLoop
from swiftpin.bench.load.load_result import LoadResult
from swiftpin.bench.load.load_run import LoadRun
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.progress import Progress
from swiftpin.core import monotonic_now
from swiftpin.ownership.group_id import GroupId

SERVICE: Final = "desk"
GATEWAYS: Final = 9
TARGETS: Final = 20
GROUPS: Final = 4
RATE: Final = 600.0
KEYS: Final = 200
WORKERS: Final = 2
WARMUP: Final = 1.0
REST: Final = 4.0
"""Seconds under load, after the warm-up, before the first fault."""
ATTEMPT_TIMEOUT: Final = 1.0
SPEC: Final = ClusterSpec(
    services=(ServiceSpec(name=SERVICE, targets=TARGETS, groups=GROUPS),),
    gateways=GATEWAYS,
)


class _ScenarioRun:
    """One run of one scenario in a cluster of its own."""

    def __init__(
        self, cluster: Cluster, scenario: FaultScenario, repeat: int, seed: int
    ) -> None:
        self._cluster = cluster
        self._scenario = scenario
        self._repeat = repeat
        self._seed = seed + repeat

    async def async_run(self) -> ScenarioResult:
        """Load the cluster, inject the faults and judge what came of it."""
        await self._cluster.async_start()
        group = GroupId(service=SERVICE, group=self._repeat % GROUPS)
        record = await async_read_record(
            self._cluster.session, self._cluster.layout.store_url, group
        )
        gateway, target = holder_name(record), busiest_target(record)
        driver = LoadDriver(self._cluster.supervisor)
        run = await driver.async_start(self._load(gateway))
        await run.async_sleep_until(WARMUP)
        before = await self._cluster.platform.async_store_calls()
        before_at = monotonic_now()
        await run.async_sleep_until(WARMUP + REST)
        at_fault = await self._cluster.platform.async_store_calls()
        fault_at = monotonic_now()
        await self._async_inject(run, FaultInjector(self._cluster, gateway, target))
        load = await run.async_result()
        after = await self._cluster.platform.async_store_calls()
        after_at = monotonic_now()
        await self._cluster.supervisor.async_end()
        return self._result(
            gateway=gateway,
            target=target,
            load=load,
            rest=at_fault.since(before),
            rest_seconds=fault_at - before_at,
            fault=after.since(at_fault),
            fault_seconds=after_at - fault_at,
            run=run,
        )

    async def _async_inject(self, run: LoadRun, injector: FaultInjector) -> None:
        """Carry out the scenario's steps when they are due."""
        for step in self._scenario.steps:
            await run.async_sleep_until(WARMUP + REST + step.at)
            await injector.async_act(step.action)

    def _load(self, gateway: str) -> LoadSpec:
        """Return the steady load, alike for all keys so that all are observed."""
        layout = self._cluster.layout
        return LoadSpec(
            entries=layout.entries,
            lossy_entries=self._lossy_entries(layout.gateways_by_name[gateway]),
            classes=desk_classes(SERVICE),
            mode=OpenLoop(rate=RATE),
            duration=WARMUP + REST + self._scenario.duration,
            warmup=WARMUP,
            workers=WORKERS,
            keys=KEYS,
            zipf_exponent=0.0,
            seed=self._seed,
            attempt_timeout=ATTEMPT_TIMEOUT,
            traced=True,
        )

    def _lossy_entries(self, place: GatewayPlace) -> tuple[str, ...]:
        """Return the lost gateway's address if the scenario loses one."""
        actions = [step.action for step in self._scenario.steps]
        if any(isinstance(item, KillGateway | FreezeGateway) for item in actions):
            return (place.listen,)
        return ()

    def _result(
        self,
        *,
        gateway: str,
        target: str,
        load: LoadResult,
        rest: StoreCalls,
        rest_seconds: float,
        fault: StoreCalls,
        fault_seconds: float,
        run: LoadRun,
    ) -> ScenarioResult:
        """Return the result with the traces' judgements."""
        traces = [*self._cluster.trace_paths(), *run.trace_paths]
        return ScenarioResult(
            scenario=self._scenario.name,
            repeat=self._repeat,
            gateway=gateway,
            target=target,
            fault_from=WARMUP + REST,
            fault_until=WARMUP + REST + self._scenario.steps[-1].at,
            calls_at_rest=rest.total / rest_seconds,
            calls_after_fault=fault.total / fault_seconds,
            writes_after_fault=fault.writes / fault_seconds,
            load=load,
            judgements=judge_traces(traces),
        )


async def async_failover(
    options: ExperimentOptions, progress: Progress
) -> FailoverResult:
    """Run every scenario in a fresh cluster."""
    runs = []
    for repeat in range(options.repeats or 1):
        for scenario in failover_scenarios(quick=options.quick):
            if options.only not in scenario.name:
                continue
            progress.show(f"{scenario.name}, repeat {repeat + 1}")
            name = f"{scenario.name.replace(' ', '-')}-{repeat}"
            async with Cluster(SPEC, options.directory / name) as cluster:
                run = _ScenarioRun(cluster, scenario, repeat, options.seed)
                runs.append(await run.async_run())
    return FailoverResult(
        gateways=GATEWAYS,
        targets=TARGETS,
        groups=GROUPS,
        rate=RATE,
        keys=KEYS,
        runs=runs,
    )


FAILOVER: Final = Experiment(
    name="failover",
    summary="losses of targets, gateways and the store under a steady load",
    async_run=async_failover,
)
