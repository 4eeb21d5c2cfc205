"""Rolling stop and start of gateways."""

from __future__ import annotations

import asyncio
from itertools import cycle
from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.experiments.stops_metric import read_metric
from swiftpin.bench.experiments.stops_orders import StopOrders
from swiftpin.bench.experiments.stops_result import GatewayStop, StopWay
from swiftpin.core import monotonic_now
from swiftpin.gateway.admin_server import PATH_METRICS
from swiftpin.standins.instance_change import InstanceChange
from swiftpin.standins.instance_state import InstanceState

METRIC_IN_FLIGHT: Final = "swiftpin_requests_in_flight"
END_LIMIT: Final = 60.0
BETWEEN: Final = 2.0
"""Seconds of rest between two stops, in which the instance list catches up."""


class RollingGateways:
    """Stops gateways one by one and starts each again after it left.

    The instance list follows as the platform would: it lists an instance as leaving
    from the signal on, as gone after its end and as live after its start.
    """

    def __init__(self, cluster: Cluster, orders: StopOrders) -> None:
        self._cluster = cluster
        self._orders = orders

    async def async_run(self, names: list[str]) -> list[GatewayStop]:
        """Stop and start the gateways, by signal and by order in turn."""
        stops = []
        for name, way in zip(names, cycle(StopWay), strict=False):
            stops.append(await self._async_stop(name, way))
            await self._async_start(name)
            await asyncio.sleep(BETWEEN)
        return stops

    async def _async_stop(self, name: str, way: StopWay) -> GatewayStop:
        """Let one gateway leave."""
        in_flight = await self._async_in_flight(name)
        match way:
            case StopWay.SIGTERM:
                await self._async_list(name, InstanceState.LEAVING)
                told_at = self._cluster.supervisor.terminate(name)
            case StopWay.PLANNED:
                told_at = await self._orders.async_stop_instance(name)
        code = await self._cluster.supervisor.async_wait_ended(name, END_LIMIT)
        seconds = monotonic_now() - told_at
        await self._async_list(name, InstanceState.GONE)
        return GatewayStop(
            name=name,
            way=way,
            in_flight=in_flight,
            seconds=seconds,
            exit_code=code,
        )

    async def _async_start(self, name: str) -> None:
        """Start a gateway that left; an order still in force would stop it again."""
        await self._orders.async_cancel(name)
        await self._cluster.async_start_gateways([name])
        await self._async_list(name, InstanceState.LIVE)

    async def _async_in_flight(self, name: str) -> int:
        """Return how many requests a gateway says to be serving."""
        admin = self._cluster.layout.gateways_by_name[name].admin
        url = f"http://{admin}{PATH_METRICS}"
        async with self._cluster.session.get(url) as response:
            return int(read_metric(await response.text(), METRIC_IN_FLIGHT))

    async def _async_list(self, name: str, state: InstanceState) -> None:
        """Change the instance in the platform's list."""
        place = self._cluster.layout.gateways_by_name[name]
        change = InstanceChange(
            state=state,
            zone=place.zone,
            peer=place.peer,
            forward=place.forward,
            admin=place.admin,
        )
        await self._cluster.platform.async_change_instance(name, change)
