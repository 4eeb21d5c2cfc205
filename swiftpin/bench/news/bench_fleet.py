"""The measured fleet and the stand-ins of the platform."""

from __future__ import annotations

import asyncio
from typing import Final

from aiohttp import ClientSession, TCPConnector

from swiftpin.bench.news.bench_instance import BenchInstance
from swiftpin.bench.news.way import Way
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.listed_instance import ListedInstance
from swiftpin.standins.store_standin import StoreStandin

ZONES: Final = 4


def _listed(number: int, address: str) -> ListedInstance:
    """Return the list's entry of one instance."""
    return ListedInstance(
        name=f"i{number}",
        zone=f"z{number % ZONES}",
        peer=address,
        forward=address,
        admin=address,
    )


class BenchFleet:
    """Instances with real gRPC servers on loopback, all in this process."""

    def __init__(self, *, size: int, way: Way, loss: float, seed: int) -> None:
        self._size = size
        self._way = way
        self._loss = loss
        self._seed = seed
        ports = PortAllocator()
        self._listed = [_listed(number, ports.allocate()) for number in range(size)]
        self._platform = InstancesStandin(instances=self._listed)
        self._store = StoreStandin()
        self._session: ClientSession | None = None
        self.instances: list[BenchInstance] = []

    async def async_setup(self) -> None:
        """Start everything and wait until every instance is loaded."""
        await self._platform.async_start()
        await self._store.async_start()
        self._session = ClientSession(connector=TCPConnector(limit=0))
        self.instances = [
            BenchInstance(
                listed=listed,
                way=self._way,
                session=self._session,
                store_url=self._store.url,
                instances_url=self._platform.url,
                loss=self._loss,
                seed=self._seed,
            )
            for listed in self._listed
        ]
        for instance in self.instances:
            await instance.async_setup()
        await asyncio.gather(
            *(instance.news.async_wait_loaded() for instance in self.instances)
        )

    async def async_unload(self) -> None:
        """Stop everything."""
        for instance in self.instances:
            await instance.async_unload()
        if self._session is not None:
            await self._session.close()
        await self._store.async_stop()
        await self._platform.async_stop()
