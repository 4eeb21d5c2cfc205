"""Tests of answers of the store that have no end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import pytest

from swiftpin.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from swiftpin.platform import store_client
from swiftpin.platform.store_client import CALL_TIMEOUT, StoreClient
from swiftpin.router.http_clients import HttpClients
from swiftpin.store_errors import HistoryGoneError

TIME_LIMIT = 3.0
"""Seconds after which a test fails; well above the limits that it sets."""

ANSWER_LIMIT = 4 * 1024 * 1024
READ_LIMIT = 1.0
SOCKET_BUFFERS = 8 * 1024 * 1024
"""Bytes that may be on their way, sent by the store and not read."""

FAST_PIECE = bytes(256 * 1024)
FAST_PAUSE = 0.005
SLOW_PIECE = b" "
SLOW_PAUSE = 0.1


@dataclass(kw_only=True)
class EndlessStore:
    """Store whose answers have a head and a body without end."""

    head: bytes
    piece: bytes
    pause: float
    sent: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the first request on a connection until the client closes it."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.head)
        try:
            while True:
                writer.write(self.piece)
                await writer.drain()
                self.sent += len(self.piece)
                await asyncio.sleep(self.pause)
        except ConnectionError:
            return


def chunk(piece: bytes) -> bytes:
    """Return a piece of a body in chunked encoding."""
    return b"%x\r\n%s\r\n" % (len(piece), piece)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = (
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b'{"items":[],"at":7,"x":"')
)
LONG = HEAD + b"Content-Length: 1000000000000\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"


@pytest.fixture(
    name="endless",
    params=[
        EndlessStore(head=CHUNKED, piece=chunk(FAST_PIECE), pause=FAST_PAUSE),
        EndlessStore(head=CHUNKED, piece=chunk(SLOW_PIECE), pause=SLOW_PAUSE),
        EndlessStore(head=LONG, piece=FAST_PIECE, pause=FAST_PAUSE),
        EndlessStore(head=LONG, piece=SLOW_PIECE, pause=SLOW_PAUSE),
        EndlessStore(head=b"", piece=INTERIM, pause=FAST_PAUSE),
        EndlessStore(head=HEAD, piece=b"x: y\r\n", pause=FAST_PAUSE),
    ],
    ids=["chunks", "slow chunks", "length", "slow length", "interim", "headers"],
)
async def endless_fixture(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> EndlessStore:
    """Return a store with endless answers; the client's limits are shortened."""
    monkeypatch.setattr(store_client, "MAX_ANSWER", ANSWER_LIMIT, raising=False)
    monkeypatch.setattr(store_client, "MAX_READ_TIME", READ_LIMIT, raising=False)
    store: EndlessStore = request.param
    store.sent = 0
    return store


@pytest.fixture(name="client")
async def client_fixture(endless: EndlessStore) -> AsyncIterator[StoreClient]:
    """Return a client of the store."""
    clients = HttpClients()
    server = await asyncio.start_server(endless.async_answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield StoreClient(f"{host}:{port}", clients.store)
    clients.unload()
    server.close()
    for task in endless.tasks:
        task.cancel()
    endless.tasks.clear()


ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError, HistoryGoneError)


CALLS: list[Callable[[StoreClient], Awaitable[object]]] = [
    lambda client: client.async_list("servers"),
    lambda client: client.async_watch("servers", 5, 0.2, grace=0.5),
    lambda client: client.async_get("config", "main", limit=0.5),
    lambda client: client.async_create("config", "main", {}, limit=0.5),
]


@pytest.mark.parametrize("call", CALLS, ids=["list", "watch", "get", "create"])
async def test_endless_answer_is_given_up(
    endless: EndlessStore,
    client: StoreClient,
    call: Callable[[StoreClient], Awaitable[object]],
) -> None:
    """Guards against an instance that waits or reads until its memory is used up."""
    async with asyncio.timeout(TIME_LIMIT):
        with pytest.raises(ERRORS):
            await call(client)
    assert endless.sent <= ANSWER_LIMIT + SOCKET_BUFFERS


async def test_short_calls_keep_their_time_limit(
    client: StoreClient, endless: EndlessStore
) -> None:
    """Guards against a lease that ends while its renewal awaits a slow answer."""
    started_at = asyncio.get_running_loop().time()
    with pytest.raises(ERRORS):
        await client.async_create("lease", "x", {}, limit=0.3)
    is_slow = endless.pause == SLOW_PAUSE and endless.head == CHUNKED
    limit = 0.3 if is_slow else CALL_TIMEOUT
    assert asyncio.get_running_loop().time() - started_at < limit + 0.2


async def test_watch_with_too_many_changes_is_replaced_by_a_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a watch that is repeated for ever since its answer is too long."""
    monkeypatch.setattr(store_client, "MAX_ANSWER", ANSWER_LIMIT)
    body = b'{"events":[],"at":9,"x":"' + b"x" * ANSWER_LIMIT + b'"}'
    head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)

    async def async_answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + body)
        writer.close()

    clients = HttpClients()
    server = await asyncio.start_server(async_answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        with pytest.raises(HistoryGoneError):
            await StoreClient(f"{host}:{port}", clients.store).async_watch(
                "servers", 5, 0.0
            )
    finally:
        clients.unload()
        server.close()
