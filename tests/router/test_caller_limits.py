"""Tests of the operator's limits on what callers send."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.router.site import HOST, MAX_WAIT, Site, configuration

SMALL = 16_384
LARGE = 40_000
LINE = b"x-line-%03d: " + b"v" * 3000 + b"\r\n"


def request_of(length: int) -> bytes:
    """Return a request whose head has a length."""
    head = (
        f"GET /read/a HTTP/1.1\r\nHost: {HOST}\r\nSwiftpin-Request-Id: l{length}\r\n"
        "Swiftpin-Deadline-Milliseconds: 2000\r\nSwiftpin-Shard-Key: 1\r\n"
    ).encode()
    number = 0
    while len(head) + len(LINE) + 100 < length:
        head += LINE % number
        number += 1
    filler = length - len(head) - len(b"x-fill: \r\n\r\n")
    return head + b"x-fill: " + b"v" * filler + b"\r\n\r\n"


@asynccontextmanager
async def connecting(
    site: Site,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect to an instance as a caller."""
    address = site.settings_by_name["i0"].caller_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def async_read_status(reader: asyncio.StreamReader) -> int:
    """Read an answer and return its status."""
    async with asyncio.timeout(MAX_WAIT):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        _, _, rest = head.partition("content-length:")
        await reader.readexactly(int(rest.split("\r\n")[0]))
    return int(head.split()[1])


async def async_configure(site: Site, version: int, **limits: int) -> None:
    """Put a configuration in force that changes limits."""
    document = configuration(version, site.routes)
    document["limits"].update(limits)
    site.store.put("config", "main", document)
    router = site.routers_by_name["i0"]
    await site.async_wait(lambda: router._configuration.version == version)


@pytest.mark.parametrize("piece", [1, SMALL])
async def test_head_at_the_limit_is_served(site: Site, piece: int) -> None:
    """Guards against requests within the operator's limits that are refused."""
    request = request_of(SMALL)
    assert len(request) == SMALL
    async with connecting(site) as (reader, writer):
        for start in range(0, SMALL, piece):
            writer.write(request[start : start + piece])
            await writer.drain()
            await asyncio.sleep(0)
        assert await async_read_status(reader) == 200


async def test_new_limits_hold_for_open_connections(site: Site) -> None:
    """Guards against limits of an earlier configuration that stay in force."""
    async with connecting(site) as (reader, writer):
        writer.write(request_of(SMALL))
        assert await async_read_status(reader) == 200
        await async_configure(site, 2, header_bytes=LARGE)
        writer.write(request_of(LARGE))
        assert await async_read_status(reader) == 200
        await async_configure(site, 3, header_bytes=SMALL)
        writer.write(request_of(LARGE))
        assert await async_read_status(reader) == 431


@pytest.mark.parametrize("opening", [b"", b"GET /read/a HTTP/1.1\r\n"])
async def test_silent_caller_is_closed_in_time(site: Site, opening: bytes) -> None:
    """Guards against callers that keep a connection without a request."""
    async with connecting(site) as (reader, writer):
        writer.write(opening)
        await async_configure(site, 2, header_ms=10, idle_ms=1500)
        async with asyncio.timeout(MAX_WAIT):
            assert await reader.read() == b""
