"""Tests of connections to targets."""

from __future__ import annotations

import asyncio
import socket

import pytest

from swiftpin.dispatch.http_pool import HttpPool
from swiftpin.exceptions import ConnectionFailedError
from swiftpin.helpers.address import Address


async def test_aborted_exchange_is_not_delivered_later() -> None:
    """Symptom: keys went back to a target with an old fence after a cut had healed.

    Sequence: a grant was written to a connection whose link was cut; it was given up
    and the connection closed; the kernel went on sending what was written, and the
    target took the grant six seconds later, when another one held its keys.
    Cause: a plain close delivers what was written; only a reset drops it.
    """
    ends: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.read(-1)
            ends.set_result("in order")
        except ConnectionResetError:
            ends.set_result("reset")
        writer.close()

    server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = HttpPool(Address(host=host, port=port), limit=1, connect_limit=1.0)
    connection = await pool.async_connect()
    assert connection.protocol.transport is not None
    connection.protocol.transport.write(b"POST /api/grant HTTP/1.1\r\n")
    await asyncio.sleep(0.05)
    connection.abort()
    assert await asyncio.wait_for(ends, 2.0) == "reset"
    server.close()


@pytest.mark.parametrize("seconds", [0.6, 3.0])
async def test_kernel_gives_up_on_what_is_not_taken(seconds: float) -> None:
    """The kernel drops a call that nobody took, also when the process stands still."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = HttpPool(
        Address(host=host, port=port),
        limit=1,
        connect_limit=1.0,
        untaken_limit=seconds,
    )
    connection = await pool.async_connect()
    assert connection.protocol.transport is not None
    raw_socket = connection.protocol.transport.get_extra_info("socket")
    option = raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert option == seconds * 1000
    pool.unload()
    server.close()


@pytest.mark.parametrize("host", ["x" * 64, "a..b", "\u2028", "a\0b"])
async def test_name_that_no_lookup_takes_is_a_failed_connection(host: str) -> None:
    """Guards against an entry whose address ends the task that connects to it."""
    pool = HttpPool(Address(host=host, port=1), limit=1, connect_limit=1.0)
    with pytest.raises(ConnectionFailedError):
        await pool.async_connect()
