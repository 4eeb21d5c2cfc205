"""Configuration changes while news is lost and an instance is paused."""

from __future__ import annotations

import time

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.experiments.config_accepted import AcceptedChange
from swiftpin.bench.experiments.config_bench import ConfigBench
from swiftpin.bench.experiments.config_judgement import count_older
from swiftpin.bench.experiments.config_lossy_gateway import NEWS_LOSS
from swiftpin.bench.experiments.config_plan import ConfigPlan
from swiftpin.bench.experiments.config_result import FaultyResult
from swiftpin.bench.experiments.config_times import in_force_at, in_force_times
from swiftpin.membership.neighbours import choose_watchers
from swiftpin.membership.news_settings import NewsSettings


class ConfigFaultyRun:
    """Measures one started cluster whose gateways lose news."""

    def __init__(self, cluster: Cluster, plan: ConfigPlan, seed: int) -> None:
        self._cluster = cluster
        self._plan = plan
        self._bench = ConfigBench(cluster, seed)

    async def async_run(self) -> FaultyResult:
        """Change without a pause, change in a pause, and let the paused one go on."""
        loss_only = await self._async_change()
        paused = await self._async_watching_instance()
        paused_at = time.time()
        self._cluster.supervisor.freeze(paused)
        in_pause = await self._bench.async_change_in_turn(self._plan.faulty_changes)
        thawed_at = time.time()
        self._cluster.supervisor.thaw(paused)
        await self._bench.async_wait_everywhere(in_pause)
        adoptions_by_instance = self._bench.adoptions_by_instance()
        caught_up_at = in_force_at(in_pause[-1], adoptions_by_instance[paused])
        return FaultyResult(
            news_loss=NEWS_LOSS,
            loss_only=in_force_times(loss_only, adoptions_by_instance),
            others=in_force_times(
                in_pause,
                {
                    name: items
                    for name, items in adoptions_by_instance.items()
                    if name != paused
                },
            ),
            paused=paused,
            paused_for=thawed_at - paused_at,
            caught_up_after=None if caught_up_at is None else caught_up_at - thawed_at,
            older_after_newer=sum(
                count_older(items) for items in adoptions_by_instance.values()
            ),
        )

    async def _async_change(self) -> list[AcceptedChange]:
        """Make changes and wait until they are in force everywhere."""
        changes = await self._bench.async_change_in_turn(self._plan.faulty_changes)
        await self._bench.async_wait_everywhere(changes)
        return changes

    async def _async_watching_instance(self) -> str:
        """Return an instance that watches the store, from which others get news."""
        infos_by_name = {
            info.name: info for info in await self._bench.instances.async_list()
        }
        zone = self._cluster.spec.zones[0]
        count = NewsSettings().watchers_per_zone
        return min(choose_watchers(zone, infos_by_name, count))
