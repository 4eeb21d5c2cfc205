"""Tests of long answers from the store over a slow link."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from functools import partial

import pytest

from swiftpin.exceptions import StoreUnavailableError
from swiftpin.platform.store_client import StoreClient
from swiftpin.router.http_clients import HttpClients

GRACE = 0.2
PIECES = 10
PIECE = b" " * 4096

MakeStore = Callable[[int, float], asyncio.Future[StoreClient]]


async def _async_answer(
    pieces: int,
    pause: float,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer a call with a body that is sent slowly."""
    await reader.readuntil(b"\r\n\r\n")
    body = b'{"events":[],"at":7}' + PIECE * pieces
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode())
    for start in range(0, len(body), len(PIECE)):
        await asyncio.sleep(pause)
        writer.write(body[start : start + len(PIECE)])
    writer.close()


@pytest.fixture(name="make_store")
async def make_store_fixture() -> AsyncIterator[MakeStore]:
    """Yield a function that starts a store with slow answers."""
    clients = HttpClients()
    servers: list[asyncio.Server] = []

    async def async_make(pieces: int, pause: float) -> StoreClient:
        server = await asyncio.start_server(
            partial(_async_answer, pieces, pause), "127.0.0.1", 0
        )
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        return StoreClient(f"{host}:{port}", clients.store)

    yield lambda pieces, pause: asyncio.ensure_future(async_make(pieces, pause))
    for server in servers:
        server.close()
    clients.unload()


async def test_long_answer_is_read_as_long_as_it_arrives(
    make_store: MakeStore,
) -> None:
    """Guards against endless retries of a long answer that arrives slowly."""
    store = await make_store(PIECES, GRACE / 4)
    changes = await store.async_watch("config", 5, 0.0, grace=GRACE)
    assert changes.revision == 7


async def test_short_answer_keeps_its_timeout(
    make_store: MakeStore,
) -> None:
    """Guards against a lease delayed by a short answer that arrives very slowly."""
    store = await make_store(2, GRACE / 2)
    with pytest.raises(StoreUnavailableError):
        await store.async_watch("config", 5, 0.0, grace=GRACE)


async def test_stalled_long_answer_times_out(
    make_store: MakeStore,
) -> None:
    """Guards against a read that waits for a dead connection."""
    store = await make_store(PIECES, 2.0)
    async with asyncio.timeout(2.0):
        with pytest.raises(StoreUnavailableError):
            await store.async_watch("config", 5, 0.0, grace=GRACE)
