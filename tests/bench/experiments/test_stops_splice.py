"""Tests of copying bytes between two connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import socket

import pytest

from swiftpin.bench.experiments.stops_splice import async_splice
from swiftpin.bench.processes.port_allocator import LOOPBACK
from swiftpin.helpers.connection_reset import RESET_ON_CLOSE

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Connect = Callable[
    [Serve], Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
]


@pytest.fixture
async def connect() -> AsyncIterator[Connect]:
    """Return what connects, through a splice, to a server with a behaviour."""
    servers: list[asyncio.Server] = []

    async def async_listen(serve: Serve) -> int:
        server = await asyncio.start_server(serve, LOOPBACK, 0)
        servers.append(server)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def async_connect(
        serve: Serve,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        upstream_port = await async_listen(serve)

        async def async_pass(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            upstream = await asyncio.open_connection(LOOPBACK, upstream_port)
            await async_splice((reader, writer), upstream)

        port = await async_listen(async_pass)
        return await asyncio.open_connection(LOOPBACK, port)

    yield async_connect
    for server in servers:
        server.close()


async def test_bytes_pass_both_ways_to_the_end(connect: Connect) -> None:
    """A side that ended its sending still receives."""

    async def async_echo(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(await reader.read())
        writer.close()

    reader, writer = await connect(async_echo)
    writer.write(b"x" * 300_000)
    writer.write_eof()
    assert await reader.read() == b"x" * 300_000
    writer.close()


async def test_reset_stays_a_reset(connect: Connect) -> None:
    """Symptom: a caller takes the part of an answer without a length for the whole.

    Sequence: the instance resets the connection in the middle. Cause: the reset was
    passed on as an ordinary end.
    """

    async def async_cut(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b"part")
        await writer.drain()
        await reader.readexactly(1)
        raw_socket = writer.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    reader, writer = await connect(async_cut)
    assert await reader.readexactly(4) == b"part"
    writer.write(b"1")
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.close()
