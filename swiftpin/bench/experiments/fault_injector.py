"""Carries out the actions of a fault scenario."""

from __future__ import annotations

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.experiments.fault_action import (
    BeginStoreOutage,
    EndStoreOutage,
    FaultAction,
    FreezeGateway,
    FreezeTarget,
    KillGateway,
    KillTarget,
    ThawGateway,
    ThawTarget,
    UnlistGateway,
)
from swiftpin.standins.instance_change import InstanceChange
from swiftpin.standins.instance_state import InstanceState
from swiftpin.standins.store_faults import StoreFaults


class FaultInjector:
    """Acts on one chosen gateway and one chosen target."""

    def __init__(self, cluster: Cluster, gateway: str, target: str) -> None:
        self._cluster = cluster
        self._gateway = gateway
        self._target = target

    async def async_act(self, action: FaultAction) -> None:
        """Carry out one action."""
        supervisor = self._cluster.supervisor
        platform = self._cluster.platform
        match action:
            case KillTarget():
                supervisor.kill(self._target)
            case FreezeTarget():
                supervisor.freeze(self._target)
            case ThawTarget():
                supervisor.thaw(self._target)
            case KillGateway():
                supervisor.kill(self._gateway)
            case FreezeGateway():
                supervisor.freeze(self._gateway)
            case ThawGateway():
                supervisor.thaw(self._gateway)
            case UnlistGateway():
                change = InstanceChange(state=InstanceState.GONE)
                await platform.async_change_instance(self._gateway, change)
            case BeginStoreOutage():
                await platform.async_set_store_faults(StoreFaults(outage=True))
            case EndStoreOutage():
                await platform.async_set_store_faults(StoreFaults())
