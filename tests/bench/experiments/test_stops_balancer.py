"""Tests of the balancer that experiments put before gateways."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from aiohttp import ClientSession, web
import pytest

from swiftpin.bench.experiments.stops_balancer import Balancer
from swiftpin.bench.processes.polling import async_poll
from swiftpin.bench.processes.port_allocator import LOOPBACK, PortAllocator

TIMEOUT = 10.0

StartInstance = Callable[[], Awaitable["SmallInstance"]]


class SmallInstance:
    """Answers with its own address; `status` is what it says about being ready."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.status = 200
        app = web.Application()
        app.router.add_get("/readyz", self._async_ready)
        app.router.add_get("/name", self._async_name)
        self.runner = web.AppRunner(app)

    async def async_setup(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        await self.runner.setup()
        await web.TCPSite(self.runner, host, int(port)).start()

    async def _async_ready(self, _request: web.Request) -> web.Response:
        return web.Response(status=self.status)

    async def _async_name(self, _request: web.Request) -> web.Response:
        return web.Response(text=self.address)


@pytest.fixture
async def start_instance() -> AsyncIterator[StartInstance]:
    """Return what starts instances."""
    ports = PortAllocator()
    started: list[SmallInstance] = []

    async def async_start() -> SmallInstance:
        instance = SmallInstance(ports.allocate())
        await instance.async_setup()
        started.append(instance)
        return instance

    yield async_start
    for instance in started:
        await instance.runner.cleanup()


@pytest.fixture
async def session() -> AsyncIterator[ClientSession]:
    """Return a session."""
    async with ClientSession() as session:
        yield session


@pytest.fixture
async def instances(start_instance: StartInstance) -> list[SmallInstance]:
    """Return two instances."""
    return [await start_instance(), await start_instance()]


@pytest.fixture
async def balancer(
    session: ClientSession, instances: list[SmallInstance]
) -> AsyncIterator[Balancer]:
    """Return a balancer that found both instances ready."""
    balancer = Balancer(session, {item.address: item.address for item in instances})
    await balancer.async_setup()
    await async_poll(lambda: len(balancer.ready) == 2, TIMEOUT)
    yield balancer
    await balancer.async_unload()


@pytest.fixture
async def url(balancer: Balancer) -> AsyncIterator[str]:
    """Return where the balancer takes connections."""
    server = await asyncio.start_server(balancer.async_serve, LOOPBACK, 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        yield f"http://{LOOPBACK}:{port}"


async def async_name(url: str) -> str:
    """Return which instance answers a caller who comes anew."""
    async with ClientSession() as session, session.get(f"{url}/name") as response:
        return await response.text()


async def test_every_ready_instance_gets_connections(
    url: str, instances: list[SmallInstance]
) -> None:
    """Each connection is given to one of them by chance."""
    names = {await async_name(url) for _ in range(30)}
    assert names == {item.address for item in instances}


async def test_leaving_instance_gets_no_connections(
    url: str, balancer: Balancer, instances: list[SmallInstance]
) -> None:
    """An instance that says that it is not ready is left out."""
    leaving, staying = instances
    leaving.status = 503
    await async_poll(lambda: len(balancer.ready) == 1, TIMEOUT)
    assert {await async_name(url) for _ in range(10)} == {staying.address}


async def test_refused_connection_goes_elsewhere(
    url: str, balancer: Balancer, instances: list[SmallInstance]
) -> None:
    """Symptom: callers see an error although another instance is ready.

    Sequence: an instance ends, a caller connects before the balancer has asked it
    again. Cause: the refused connection was not tried elsewhere.
    """
    gone, staying = instances
    await gone.runner.cleanup()
    balancer.ready.add(gone.address)
    assert {await async_name(url) for _ in range(10)} == {staying.address}
