"""Tests of callers that disconnect before their request is read."""

from __future__ import annotations

import asyncio
import socket

from tests.router.site import HOST, Site

CALLERS = 20


def call_and_leave(site: Site, path: str, request_id: str, key: int) -> None:
    """Send a request and close the connection before the instance reads it."""
    address = site.settings_by_name["i0"].caller_address
    head = (
        f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nSwiftpin-Request-Id: {request_id}\r\n"
        f"Swiftpin-Deadline-Milliseconds: 2000\r\nSwiftpin-Shard-Key: {key}\r\n\r\n"
    )
    with socket.create_connection((address.host, address.port)) as caller:
        caller.sendall(head.encode())


async def test_request_that_is_read_after_its_caller_left_is_not_sent(
    site: Site,
) -> None:
    """Failure: an overloaded instance forwarded requests of callers that had left."""
    await site.async_call("/files/warm")
    await site.async_call("/read/warm")
    ids = [f"left-{number}" for number in range(CALLERS)]
    for number, request_id in enumerate(ids):
        path = "/files/x" if number % 2 else "/read/x"
        call_and_leave(site, path, request_id, number * 3000)
    await asyncio.sleep(0.5)
    assert [site.count_runs(request_id) for request_id in ids] == [0] * CALLERS
    assert (await site.async_call("/files/x")).status == 200


async def test_caller_that_keeps_its_connection_is_served(site: Site) -> None:
    """A caller that pipelines requests must not be mistaken for one that left."""
    address = site.settings_by_name["i0"].caller_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    for number in (1, 2):
        writer.write(
            f"GET /files/x HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Swiftpin-Request-Id: kept-{number}\r\n"
            f"Swiftpin-Deadline-Milliseconds: 2000\r\n\r\n".encode()
        )
    async with asyncio.timeout(5):
        while not (site.count_runs("kept-1") and site.count_runs("kept-2")):
            assert await reader.read(1000)
    writer.close()
