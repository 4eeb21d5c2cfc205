"""Tests of answers to exchanges that were cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

from multidict import CIMultiDict
import pytest

from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.dispatch.late_answers import LateAnswers
from swiftpin.helpers.bytes_body import BytesBody

ANSWER_DELAY = 0.05
"""Seconds until the server answers."""

ANSWER = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nRetry-After: 3\r\n\r\n"


class Server:
    """Answers each request after a delay and notes closed connections."""

    def __init__(self) -> None:
        self.address = ""
        self.closed = asyncio.Event()

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(ANSWER_DELAY)
                writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            writer.close()


@pytest.fixture(name="server")
async def server_fixture() -> AsyncIterator[Server]:
    """Return a server that listens."""
    server = Server()
    listener = await asyncio.start_server(server.async_serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server.address = f"{host}:{port}"
    yield server
    listener.close()


async def async_cancel_exchange(
    server: Server, client: HttpClient, time_left: Callable[[], float]
) -> list[HttpAnswer]:
    """Cancel an exchange after its write; return the list of late answers."""
    answers: list[HttpAnswer] = []
    written = asyncio.Event()
    request = HttpRequest(
        method="GET", path="/", headers=CIMultiDict(), body=BytesBody(b"")
    )
    late = LateAnswers(time_left=time_left, on_answer=answers.append)
    task = asyncio.create_task(
        client.async_exchange(
            server.address,
            request,
            HttpSendState(),
            lambda now: written.set(),
            late=late,
        )
    )
    await written.wait()
    await asyncio.sleep(ANSWER_DELAY / 5)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    return answers


async def test_answer_to_a_cancelled_exchange_is_read(server: Server) -> None:
    """Guards against rejections that nobody reads since the caller has left."""
    client = HttpClient()
    answers = await async_cancel_exchange(server, client, lambda: 1.0)
    async with asyncio.timeout(1.0):
        await server.closed.wait()
    assert [answer.headers["Retry-After"] for answer in answers] == ["3"]
    assert not client._pool(server.address, 1).open_count


@pytest.mark.parametrize("seconds", [0.0, -1.0, ANSWER_DELAY / 5])
async def test_connection_is_closed_when_no_answer_is_awaited(
    server: Server, seconds: float
) -> None:
    """Guards against targets that go on working for a caller that has left."""
    client = HttpClient()
    answers = await async_cancel_exchange(server, client, lambda: seconds)
    async with asyncio.timeout(1.0):
        await server.closed.wait()
    assert not answers
    assert not client._pool(server.address, 1).open_count
