"""Start of what takes the callers' requests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.experiments.overload_contender import OverloadContender
from swiftpin.bench.experiments.overload_site import (
    GATEWAYS,
    PROXIES_SPEC,
    SERVICE,
    SWIFTPIN_SPEC,
)
from swiftpin.bench.load.load_driver import LoadDriver
from swiftpin.bench.processes.managed_process import ManagedProcess
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.bench.processes.process_spec import ProcessSpec

MODULE_PROXY: Final = "swiftpin.bench.experiments.overload_proxy"


@dataclass(frozen=True, kw_only=True, slots=True)
class OverloadEntries:
    """Addresses and processes of one contender that runs, and the driver of loads."""

    contender: OverloadContender
    addresses: tuple[str, ...]
    processes: list[ManagedProcess]
    driver: LoadDriver


@asynccontextmanager
async def async_open_entries(
    contender: OverloadContender, directory: Path
) -> AsyncIterator[OverloadEntries]:
    """Start targets and the contender before them; all end with the block."""
    if contender is OverloadContender.SWIFTPIN:
        async with Cluster(SWIFTPIN_SPEC, directory) as cluster:
            await cluster.async_start()
            yield OverloadEntries(
                contender=contender,
                addresses=cluster.layout.entries,
                processes=cluster.gateways,
                driver=LoadDriver(cluster.supervisor),
            )
        return
    async with Cluster(PROXIES_SPEC, directory) as cluster:
        await cluster.async_start_targets(list(cluster.layout.targets_by_id))
        addresses = await _async_start_proxies(cluster, contender)
        yield OverloadEntries(
            contender=contender,
            addresses=tuple(addresses.values()),
            processes=[cluster.supervisor.process(name) for name in addresses],
            driver=LoadDriver(cluster.supervisor),
        )


async def _async_start_proxies(
    cluster: Cluster, policy: OverloadContender
) -> dict[str, str]:
    """Start as many proxies as there are gateways; return addresses by name."""
    ports = PortAllocator()
    targets = [place.address for place in cluster.layout.targets_of(SERVICE)]
    addresses_by_name = {
        f"proxy-{number}": ports.allocate() for number in range(1, GATEWAYS + 1)
    }
    for name, address in addresses_by_name.items():
        cluster.supervisor.start(
            ProcessSpec(
                name=name,
                module=MODULE_PROXY,
                arguments=(
                    f"--listen={address}",
                    f"--policy={policy.value}",
                    *(f"--target={target}" for target in targets),
                ),
                ready_url=f"http://{address}/healthz",
            )
        )
    await cluster.supervisor.async_wait_ready(list(addresses_by_name))
    return addresses_by_name
