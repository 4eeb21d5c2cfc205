"""Carries out a schedule of faults on a cluster."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Final

from aiohttp import ClientError

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.experiments.faults_crash_caller import FaultsCrashCaller
from swiftpin.bench.experiments.faults_episode import (
    CrashRequest,
    CutAnswers,
    DropAnswers,
    DropRequests,
    FaultEpisode,
    FreezeProcess,
    KillProcess,
    LoseStoreAnswers,
    StoreHang,
    StoreOutage,
)
from swiftpin.bench.experiments.faults_keeper import FaultsKeeper
from swiftpin.bench.experiments.faults_scheduled import ScheduledEpisode
from swiftpin.bench.load.load_run import LoadRun
from swiftpin.standins.store_faults import StoreFaults
from swiftpin.standins.target_faults import TargetFaults

CONTROL_TIMEOUT: Final = 1.0


class FaultsDriver:
    """Begins and ends the episodes.

    `skipped` lists those that met a target which a request had just crashed.
    """

    def __init__(
        self, cluster: Cluster, keeper: FaultsKeeper, crash_caller: FaultsCrashCaller
    ) -> None:
        self._cluster = cluster
        self._keeper = keeper
        self._crash_caller = crash_caller
        self.skipped: list[FaultEpisode] = []
        self.crash_tries_by_result: Counter[str] = Counter()

    async def async_run(
        self, schedule: tuple[ScheduledEpisode, ...], run: LoadRun
    ) -> None:
        """Carry out all episodes; return when the last has ended."""
        async with asyncio.TaskGroup() as group:
            for scheduled in schedule:
                await run.async_sleep_until(scheduled.at)
                group.create_task(self._async_episode(scheduled.episode))

    async def _async_episode(self, episode: FaultEpisode) -> None:
        """Carry out one episode from beginning to end."""
        match episode:
            case KillProcess(name=name, restart_after=restart_after):
                self._keeper.kill(name, restart_after)
            case FreezeProcess(name=name, length=length):
                await self._async_freeze(name, length)
            case StoreOutage(length=length):
                await self._async_store(StoreFaults(outage=True), length)
            case StoreHang(length=length):
                await self._async_store(StoreFaults(hang=True), length)
            case LoseStoreAnswers(length=length, share=share):
                await self._async_store(StoreFaults(lose_answer_share=share), length)
            case DropRequests(target=target, count=count):
                faults = TargetFaults(drop_before_next=count)
                await self._async_target(episode, target, faults)
            case DropAnswers(target=target, count=count):
                faults = TargetFaults(drop_answer_next=count)
                await self._async_target(episode, target, faults)
            case CutAnswers(target=target, count=count):
                faults = TargetFaults(cut_answer_next=count)
                await self._async_target(episode, target, faults)
            case CrashRequest():
                tries = await self._crash_caller.async_send(episode)
                self.crash_tries_by_result.update(tries)

    async def _async_freeze(self, name: str, length: float) -> None:
        """Let a process stand still for a while."""
        self._cluster.supervisor.freeze(name)
        await asyncio.sleep(length)
        self._cluster.supervisor.thaw(name)

    async def _async_store(self, faults: StoreFaults, length: float) -> None:
        """Let the store be faulty for a while."""
        platform = self._cluster.platform
        await platform.async_set_store_faults(faults)
        await asyncio.sleep(length)
        await platform.async_set_store_faults(StoreFaults())

    async def _async_target(
        self, episode: FaultEpisode, target: str, faults: TargetFaults
    ) -> None:
        """Give a target faults that count down."""
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT):
                await self._cluster.platform.async_set_target_faults(target, faults)
        except (ClientError, TimeoutError, OSError):
            self.skipped.append(episode)
