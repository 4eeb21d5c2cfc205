"""Starts gateways and targets again that ended, as a platform would."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import signal
from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.cluster.cluster_commands import gateway_process, target_process
from swiftpin.bench.processes.polling import async_poll
from swiftpin.bench.processes.process_spec import ProcessSpec
from swiftpin.core import callback, monotonic_now
from swiftpin.standins.target_standin import CRASH_STATUS

LOOK_INTERVAL: Final = 0.05
RESTART_DELAY: Final = 1.0
"""Seconds after which a process that ended by itself is started again."""
EXPECTED_CODES: Final = frozenset({-signal.SIGKILL, CRASH_STATUS})


class FaultsKeeper:
    """Watches the gateways and targets of a cluster.

    `unexpected_ends` tells of processes that ended though nobody killed them;
    `crashes` counts the targets that a request crashed.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._start_at_by_name: dict[str, float] = {}
        self.crashes = 0
        self.unexpected_ends: list[str] = []

    @callback
    def kill(self, name: str, restart_after: float) -> None:
        """Kill a process and have it started again."""
        now = self._cluster.supervisor.kill(name)
        self._start_at_by_name[name] = now + restart_after

    async def async_keep(self) -> None:
        """Start again what ended, until cancelled."""
        names = self._names()
        while True:
            now = monotonic_now()
            for name in names:
                self._look(name, now)
            await asyncio.sleep(LOOK_INTERVAL)

    async def async_wait_all_up(self, timeout: float) -> None:
        """Wait until every process runs and is ready; errors as for one of them."""
        supervisor = self._cluster.supervisor
        await async_poll(self._are_running, timeout)
        await supervisor.async_wait_ready(list(self._names()), timeout)

    def _are_running(self) -> bool:
        """Return whether no process has ended."""
        supervisor = self._cluster.supervisor
        return all(supervisor.process(name).is_running for name in self._names())

    def _names(self) -> Iterable[str]:
        """Return the names of the processes that are kept."""
        layout = self._cluster.layout
        return (*layout.gateways_by_name, *layout.targets_by_id)

    @callback
    def _look(self, name: str, now: float) -> None:
        """Start one process if it has ended and its time has come."""
        process = self._cluster.supervisor.process(name)
        if process.is_running:
            return
        start_at = self._start_at_by_name.get(name)
        if start_at is None:
            self._note_end(name, process.exit_code)
            self._start_at_by_name[name] = now + RESTART_DELAY
        elif start_at <= now:
            del self._start_at_by_name[name]
            self._cluster.supervisor.start(self._spec(name))

    @callback
    def _note_end(self, name: str, code: int | None) -> None:
        """Note that a process ended by itself."""
        if code == CRASH_STATUS:
            self.crashes += 1
        if code not in EXPECTED_CODES:
            tail = self._cluster.supervisor.process(name).log_tail()
            self.unexpected_ends.append(f"{name} ended with {code}: {tail}")

    def _spec(self, name: str) -> ProcessSpec:
        """Return the command of a process."""
        cluster = self._cluster
        target = cluster.layout.targets_by_id.get(name)
        if target is not None:
            return target_process(cluster.spec, target, cluster.directory)
        gateway = cluster.layout.gateways_by_name[name]
        return gateway_process(cluster.spec, cluster.layout, gateway, cluster.directory)
