"""Tests of exchanges with servers whose answers have no end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import tracemalloc

import pytest

from swiftpin.core import monotonic_now
from swiftpin.dispatch.http_answer import MAX_SHORT_ANSWER, HttpAnswer
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import AnswerBrokenError
from swiftpin.helpers.bytes_body import BytesBody
from tests.dispatch.endless_server import IN_BODY, IN_HEAD, Endless, EndlessServer

LIMIT = 1.0
"""Seconds within which each read must end."""

MAX_TAKEN = 16 * 1024 * 1024
"""Bytes that a server may get rid of: what socket buffers hold, and some pieces."""

MAX_MEMORY = 8 * 1024 * 1024
"""Bytes of memory that one read may take."""

Start = Callable[[Endless], Awaitable[EndlessServer]]


@pytest.fixture(name="client")
async def client_fixture() -> AsyncIterator[HttpClient]:
    """Return a client that accepts answers without a length."""
    client = HttpClient(accepts_unframed=True)
    yield client
    client.unload()


@pytest.fixture(name="start")
async def start_fixture() -> AsyncIterator[Start]:
    """Return a function that starts a server."""
    servers: list[EndlessServer] = []

    async def async_start(kind: Endless) -> EndlessServer:
        server = EndlessServer(kind)
        await server.async_setup()
        servers.append(server)
        return server

    yield async_start
    for server in servers:
        await server.async_unload()


async def async_get(client: HttpClient, server: EndlessServer) -> HttpAnswer:
    """Send a request and return the head of its answer."""
    request = HttpRequest(method="GET", path="/", headers={}, body=BytesBody(b""))  # type: ignore[arg-type]
    return await client.async_exchange(
        server.address, request, HttpSendState(), lambda now: None
    )


async def async_read(client: HttpClient, server: EndlessServer) -> bytes:
    """Return the body of a short answer, as calls of an instance itself do."""
    answer = await async_get(client, server)
    try:
        answer.limit_body(MAX_SHORT_ANSWER)
        return await answer.async_read_whole()
    finally:
        answer.finish(monotonic_now())


@pytest.mark.parametrize("kind", IN_HEAD)
async def test_endless_head_is_given_up(
    client: HttpClient, start: Start, kind: Endless
) -> None:
    """Guards against a request that waits for a head while memory fills."""
    server = await start(kind)
    tracemalloc.start()
    with pytest.raises(AnswerBrokenError):
        async with asyncio.timeout(LIMIT):
            await async_get(client, server)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    await server.async_wait_until_closed(LIMIT)
    assert server.sent < MAX_TAKEN
    assert peak < MAX_MEMORY


@pytest.mark.parametrize("kind", IN_BODY)
async def test_endless_body_is_given_up(
    client: HttpClient, start: Start, kind: Endless
) -> None:
    """Guards against a call whose answer fills the memory until it times out."""
    server = await start(kind)
    tracemalloc.start()
    with pytest.raises((AnswerBrokenError, TimeoutError)):
        async with asyncio.timeout(LIMIT):
            await async_read(client, server)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    await server.async_wait_until_closed(LIMIT)
    assert peak < MAX_MEMORY


async def test_endless_answers_close_an_idle_connection(
    client: HttpClient, start: Start
) -> None:
    """Guards against memory that fills while nobody uses the connection."""
    server = await start(Endless.ANSWERS)
    server.pause = 0.02
    async with asyncio.timeout(LIMIT):
        assert await async_read(client, server) == b"ok"
    await server.async_wait_until_closed(LIMIT)
    assert server.sent < MAX_TAKEN
    async with asyncio.timeout(LIMIT):
        await async_read(client, server)
    assert server.connections == len(server.requests) == 2


async def test_endless_answers_while_the_first_one_is_not_read(
    client: HttpClient, start: Start
) -> None:
    """Guards against answers that pile up while a slow caller reads the first one."""
    server = await start(Endless.ANSWERS)
    tracemalloc.start()
    async with asyncio.timeout(LIMIT):
        answer = await async_get(client, server)
    await server.async_wait_until_closed(LIMIT)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert await answer.async_read_whole() == b"ok"
    answer.finish(monotonic_now())
    assert peak < MAX_MEMORY


async def test_stray_answer_without_end_is_given_up(
    client: HttpClient, start: Start
) -> None:
    """Guards against an answer to another request that is skipped without a bound."""
    server = await start(Endless.CHUNKS)
    request = HttpRequest(method="GET", path="/", headers={}, body=BytesBody(b""))  # type: ignore[arg-type]
    with pytest.raises(AnswerBrokenError):
        async with asyncio.timeout(LIMIT):
            await client.async_exchange(
                server.address,
                request,
                HttpSendState(),
                lambda now: None,
                check=lambda headers: False,
            )
    await server.async_wait_until_closed(LIMIT)
    assert server.sent < MAX_TAKEN


async def test_body_must_end_within_its_time(client: HttpClient, start: Start) -> None:
    """Guards against a body that arrives slowly and without end."""
    server = await start(Endless.CHUNKS)
    server.pause = 0.05
    answer = await async_get(client, server)
    answer.limit_body(1e9, asyncio.get_running_loop().time() + LIMIT / 2)
    with pytest.raises(AnswerBrokenError):
        async with asyncio.timeout(LIMIT):
            await answer.async_read_whole()
    answer.finish(monotonic_now())
    await server.async_wait_until_closed(LIMIT)
