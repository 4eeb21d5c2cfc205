"""Time until accepted changes are in force everywhere, and the cost at rest."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from swiftpin.bench.experiment import Experiment
from swiftpin.bench.experiment_options import ExperimentOptions
from swiftpin.bench.experiments.config_bench import GROUPS, TARGETS, cluster_spec
from swiftpin.bench.experiments.config_faulty_run import ConfigFaultyRun
from swiftpin.bench.experiments.config_lossy_cluster import LossyCluster
from swiftpin.bench.experiments.config_plan import FULL_PLAN, QUICK_PLAN, ConfigPlan
from swiftpin.bench.experiments.config_result import (
    ConfigResult,
    ConfigSizeResult,
    FaultyResult,
)
from swiftpin.bench.experiments.config_sound_run import ConfigSoundRun
from swiftpin.bench.progress import Progress


class _SizeRun:
    """Both clusters of one number of instances."""

    def __init__(
        self,
        plan: ConfigPlan,
        instances: int,
        options: ExperimentOptions,
        progress: Progress,
    ) -> None:
        self._plan = plan
        self._instances = instances
        self._seed = options.seed
        self._directory = options.directory
        self._progress = progress

    async def async_run(self) -> ConfigSizeResult:
        """Measure a sound cluster, then one with faults."""
        self._show("starting")
        async with LossyCluster(
            cluster_spec(self._instances, self._seed),
            self._path("sound"),
            lossy=False,
        ) as cluster:
            await cluster.async_start()
            run = ConfigSoundRun(cluster, self._plan, self._seed)
            self._show("at rest")
            rest = await run.async_rest()
            self._show("changes in turn")
            calm = await run.async_calm()
            self._show("racing operators")
            race = await run.async_race()
        return ConfigSizeResult(
            instances=self._instances,
            rest=rest,
            calm=calm,
            race=race,
            faulty=await self._async_faulty(),
        )

    async def _async_faulty(self) -> FaultyResult:
        """Measure with lost news and a paused instance."""
        self._show("lost news and a paused instance")
        async with LossyCluster(
            cluster_spec(self._instances, self._seed),
            self._path("faulty"),
            lossy=True,
        ) as cluster:
            await cluster.async_start()
            return await ConfigFaultyRun(cluster, self._plan, self._seed).async_run()

    def _path(self, name: str) -> Path:
        """Return the directory of one cluster."""
        return self._directory / f"{self._instances}-{name}"

    def _show(self, step: str) -> None:
        """Show what is being done."""
        self._progress.show(f"{self._instances} instances: {step}")


async def async_config(options: ExperimentOptions, progress: Progress) -> ConfigResult:
    """Run the experiment."""
    plan = QUICK_PLAN if options.quick else FULL_PLAN
    sizes = [
        await _SizeRun(plan, instances, options, progress).async_run()
        for instances in plan.sizes
    ]
    return ConfigResult(
        targets=TARGETS,
        groups=GROUPS,
        zones=len(cluster_spec(plan.sizes[0], options.seed).zones),
        sizes=sizes,
    )


CONFIG: Final = Experiment(
    name="config",
    summary="time until changes are in force everywhere; cost of instances at rest",
    async_run=async_config,
)
