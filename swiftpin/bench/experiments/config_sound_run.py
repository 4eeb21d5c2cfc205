"""Configuration changes in a sound cluster: at rest, in turn, and racing."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.cluster.cluster_profile import BENCH_PROFILE
from swiftpin.bench.experiments.config_bench import (
    RACE_PROFILES,
    ConfigBench,
)
from swiftpin.bench.experiments.config_judgement import RaceJudgement, judge_race
from swiftpin.bench.experiments.config_plan import ConfigPlan
from swiftpin.bench.experiments.config_race import ConfigRace, RaceRecord
from swiftpin.bench.experiments.config_rest import RestCost, async_rest_cost
from swiftpin.bench.experiments.config_result import RaceResult
from swiftpin.bench.experiments.config_status_watch import StatusWatch
from swiftpin.bench.experiments.config_times import InForceTimes, in_force_times
from swiftpin.core import monotonic_now
from swiftpin.standins.store_faults import StoreFaults

OPERATORS: Final = 4
LOST_ANSWERS: Final = 0.05
"""Share of writes in the race that take effect while their answer is lost."""


class ConfigSoundRun:
    """Measures one started cluster."""

    def __init__(self, cluster: Cluster, plan: ConfigPlan, seed: int) -> None:
        self._cluster = cluster
        self._plan = plan
        self._bench = ConfigBench(cluster, seed)

    async def async_rest(self) -> RestCost:
        """Measure the instances while nothing changes."""
        await asyncio.sleep(self._plan.settle)
        return await async_rest_cost(self._cluster, self._plan.rest)

    async def async_calm(self) -> InForceTimes:
        """Measure one change after the other."""
        changes = await self._bench.async_change_in_turn(self._plan.calm_changes)
        await self._bench.async_wait_everywhere(changes)
        return in_force_times(changes, self._bench.adoptions_by_instance())

    async def async_race(self) -> RaceResult:
        """Measure and judge a race of operators."""
        watch = StatusWatch(self._bench.instances)
        await watch.async_setup()
        faults = StoreFaults(lose_answer_share=LOST_ANSWERS)
        await self._cluster.platform.async_set_store_faults(faults)
        started_at = monotonic_now()
        try:
            record = await self._make_race().async_run()
            seconds = monotonic_now() - started_at
            await self._bench.async_wait_everywhere(record.accepted)
        finally:
            await watch.async_unload()
            await self._cluster.platform.async_set_store_faults(StoreFaults())
        return await self._async_result(record, seconds, watch)

    def _make_race(self) -> ConfigRace:
        """Return the race."""
        return ConfigRace(
            [
                self._bench.operator(f"operator-{number}", retires=True)
                for number in range(1, OPERATORS + 1)
            ],
            RACE_PROFILES,
            BENCH_PROFILE,
            self._plan.race_changes,
            self._bench.random,
        )

    async def _async_result(
        self, record: RaceRecord, seconds: float, watch: StatusWatch
    ) -> RaceResult:
        """Return what came of the race."""
        adoptions_by_instance = self._bench.adoptions_by_instance()
        return RaceResult(
            operators=OPERATORS,
            accepted=len(record.accepted),
            read_back=sum(change.read_back for change in record.accepted),
            races_lost=record.races_lost,
            unsettled=record.unsettled,
            seconds=seconds,
            lost_answers=LOST_ANSWERS,
            times=in_force_times(record.accepted, adoptions_by_instance),
            judgement=await self._async_judge(record),
            statuses=watch.answers,
            shown_older_after_newer=watch.older_after_newer,
        )

    async def _async_judge(self, record: RaceRecord) -> RaceJudgement:
        """Compare what operators were told with the store and the instances."""
        writers_by_generation_by_label = {}
        for profile in RACE_PROFILES:
            history = await self._bench.repository.async_read_history(profile)
            writers_by_generation_by_label[profile.label] = {
                item.generation: item.writer for item in history
            }
        return judge_race(
            record.accepted,
            writers_by_generation_by_label,
            self._bench.adoptions_by_instance(),
        )
