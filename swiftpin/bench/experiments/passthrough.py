"""Cost of the gateway against a bare proxy, same load and same targets."""

from __future__ import annotations

from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.experiment import Experiment
from swiftpin.bench.experiment_options import ExperimentOptions
from swiftpin.bench.experiments.load_mixes import lookup_class
from swiftpin.bench.experiments.passthrough_result import (
    PassthroughResult,
    summarize,
)
from swiftpin.bench.experiments.passthrough_sample import (
    Contender,
    PassthroughSample,
    Phase,
)
from swiftpin.bench.load.load_driver import LoadDriver
from swiftpin.bench.load.load_mode import ClosedLoop, LoadMode, OpenLoop
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.processes.managed_process import ManagedProcess
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.bench.processes.process_spec import ProcessSpec
from swiftpin.bench.processes.usage_window import UsageMeter
from swiftpin.bench.progress import Progress
from swiftpin.core import monotonic_now

SERVICE: Final = "desk"
NAME_BARE: Final = "bare-proxy"
DEFAULT_REPEATS: Final = 3
CALLERS: Final = 64
WORKERS: Final = 4
STEADY_SHARE: Final = 0.5
WARMUP: Final = 1.5
MEASURE: Final = 8.0
MEASURE_QUICK: Final = 3.0
SPEC: Final = ClusterSpec(
    # The targets take orders from anyone, since the bare proxy sends none of the
    # headers that grants are checked by, and they have slots to spare and no work to
    # do, so that neither they nor their queues are what is measured.
    services=(
        ServiceSpec(
            name=SERVICE,
            targets=4,
            checks_grants=False,
            refuses_orders=False,
            slots=100,
            work_ms=0.0,
        ),
    ),
    gateways=1,
    zones=("az-a",),
    traced=False,
)


class _Comparison:
    """The two contenders side by side in one cluster."""

    def __init__(
        self, cluster: Cluster, options: ExperimentOptions, progress: Progress
    ) -> None:
        self._cluster = cluster
        self._options = options
        self._progress = progress
        self._driver = LoadDriver(cluster.supervisor)
        self._bare_address = PortAllocator().allocate()
        self._measure = MEASURE_QUICK if options.quick else MEASURE

    async def async_run(self) -> PassthroughResult:
        """Measure all repeats, contenders in turn."""
        await self._async_start()
        samples: list[PassthroughSample] = []
        for repeat in range(self._options.repeats or DEFAULT_REPEATS):
            for contender in self._order(repeat):
                mode = ClosedLoop(callers=CALLERS)
                samples.append(
                    await self._async_sample(contender, Phase.LIMIT, repeat, mode)
                )
        rate = STEADY_SHARE * min(item.rate for item in samples)
        for repeat in range(self._options.repeats or DEFAULT_REPEATS):
            for contender in self._order(repeat):
                samples.append(
                    await self._async_sample(
                        contender, Phase.STEADY, repeat, OpenLoop(rate=rate)
                    )
                )
        return summarize(samples, rate)

    async def _async_start(self) -> None:
        """Start the cluster and the bare proxy in front of the same targets."""
        self._progress.show("starting the cluster")
        await self._cluster.async_start()
        targets = self._cluster.layout.targets_of(SERVICE)
        await self._cluster.supervisor.async_start_ready(
            ProcessSpec(
                name=NAME_BARE,
                module="swiftpin.bench.bare_proxy",
                arguments=(
                    f"--listen={self._bare_address}",
                    *(f"--target={place.address}" for place in targets),
                ),
                ready_url=f"http://{self._bare_address}/healthz",
            )
        )

    @staticmethod
    def _order(repeat: int) -> list[Contender]:
        """Return the contenders, the other one first every time."""
        order = [Contender.BARE, Contender.GATEWAY]
        return order if repeat % 2 == 0 else order[::-1]

    async def _async_sample(
        self, contender: Contender, phase: Phase, repeat: int, mode: LoadMode
    ) -> PassthroughSample:
        """Load one contender and return its figures."""
        self._progress.show(f"{phase} of {contender}, repeat {repeat + 1}")
        run = await self._driver.async_start(self._load(contender, mode))
        await run.async_sleep_until(WARMUP)
        meter = UsageMeter(self._process(contender), monotonic_now())
        target_meters = [
            UsageMeter(self._cluster.supervisor.process(name), monotonic_now())
            for name in self._cluster.layout.targets_by_id
        ]
        await run.async_sleep_until(WARMUP + self._measure)
        now = monotonic_now()
        window = meter.window(now)
        busiest_target = max(item.window(now).cores for item in target_meters)
        result = await run.async_result()
        return PassthroughSample(
            contender=contender,
            phase=phase,
            repeat=repeat,
            rate=result.rate,
            p50_ms=result.p50_ms,
            p99_ms=result.p99_ms,
            cpu_ms=1000 * window.cores / result.rate,
            cores=window.cores,
            failed=result.scheduled - result.answered,
            busiest_worker=result.busiest_worker,
            busiest_target=busiest_target,
            send_lag_p99_ms=result.send_lag_p99_ms,
        )

    def _load(self, contender: Contender, mode: LoadMode) -> LoadSpec:
        """Return the load, the same for both but for where it goes."""
        entries = self._cluster.layout.entries
        if contender is Contender.BARE:
            entries = (self._bare_address,)
        return LoadSpec(
            entries=entries,
            classes=(lookup_class(SERVICE),),
            mode=mode,
            duration=WARMUP + self._measure,
            warmup=WARMUP,
            workers=WORKERS,
            seed=self._options.seed,
        )

    def _process(self, contender: Contender) -> ManagedProcess:
        """Return the process under test."""
        supervisor = self._cluster.supervisor
        if contender is Contender.BARE:
            return supervisor.process(NAME_BARE)
        return self._cluster.gateways[0]


async def async_passthrough(
    options: ExperimentOptions, progress: Progress
) -> PassthroughResult:
    """Run the experiment."""
    async with Cluster(SPEC, options.directory) as cluster:
        return await _Comparison(cluster, options, progress).async_run()


PASSTHROUGH: Final = Experiment(
    name="passthrough",
    summary="requests/s, latency and processor time of one gateway against a proxy",
    async_run=async_passthrough,
)
