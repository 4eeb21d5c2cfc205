"""Rolling stop and start of targets."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.cluster.record_reader import async_read_record
from swiftpin.bench.exceptions import NotReadyError
from swiftpin.bench.experiments.stops_counts import NEW_WORK_LIMIT
from swiftpin.bench.experiments.stops_orders import StopOrders
from swiftpin.config.target_spec import TargetSpec
from swiftpin.core import monotonic_now
from swiftpin.ownership.group_id import GroupId
from swiftpin.targets.client import TargetClient

EMPTY_LIMIT: Final = 60.0
POLL_INTERVAL: Final = 0.1
BETWEEN: Final = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeftTarget:
    """A target that left; times in monotonic seconds.

    `ordered_at` is when the stop was accepted, `ended_at` when the process was told
    to end, and `empty_at` when nothing was left on the target.
    """

    name: str
    ordered_at: float
    empty_at: float
    ended_at: float


class RollingTargets:
    """Stops targets of one service one by one and starts each again when empty."""

    def __init__(
        self, cluster: Cluster, orders: StopOrders, service: str, groups: int
    ) -> None:
        self._cluster = cluster
        self._orders = orders
        self._service = service
        self._groups = groups

    async def async_run(self, names: list[str]) -> list[LeftTarget]:
        """Stop and start the targets."""
        left = []
        for name in names:
            left.append(await self._async_stop(name))
            await self._async_start(name)
            await asyncio.sleep(BETWEEN)
        return left

    async def _async_stop(self, name: str) -> LeftTarget:
        """Let one target leave and end it once nothing is left on it."""
        ordered_at = await self._orders.async_stop_target(self._service, name)
        empty_at = await self._async_wait_empty(name)
        # New work that comes late is looked for a while longer, also on a target
        # that was empty at once.
        await asyncio.sleep(max(0.0, ordered_at + 2 * NEW_WORK_LIMIT - empty_at))
        ended_at = self._cluster.supervisor.terminate(name)
        await self._cluster.supervisor.async_wait_ended(name, EMPTY_LIMIT)
        return LeftTarget(
            name=name, ordered_at=ordered_at, empty_at=empty_at, ended_at=ended_at
        )

    async def _async_start(self, name: str) -> None:
        """Start a target that left and take its order back."""
        await self._cluster.async_start_targets([name])
        await self._orders.async_cancel(name)

    async def _async_wait_empty(self, name: str) -> float:
        """Return when the target owned no slices and ran nothing any more."""
        place = self._cluster.layout.targets_by_id[name]
        spec = TargetSpec(
            id=place.id,
            address=place.address,
            zone=place.zone,
            slots=place.service.slots,
            connections=place.service.connections,
        )
        client = TargetClient(self._cluster.session, spec)
        end = monotonic_now() + EMPTY_LIMIT
        while monotonic_now() < end:
            status = await client.async_status()
            is_idle = status.busy == 0 and status.queued == 0
            if is_idle and not await self._async_owned(name):
                return monotonic_now()
            await asyncio.sleep(POLL_INTERVAL)
        raise NotReadyError(f"{name} is not empty {EMPTY_LIMIT:g} s after its order")

    async def _async_owned(self, name: str) -> int:
        """Return how many slices the records give the target."""
        owned = 0
        for number in range(self._groups):
            record = await async_read_record(
                self._cluster.session,
                self._cluster.layout.store_url,
                GroupId(service=self._service, group=number),
            )
            assignments = record.slices_by_id.values()
            owned += sum(item.target == name for item in assignments)
        return owned
