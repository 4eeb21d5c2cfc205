"""Tests of a listener whose clients send at its limits and beyond."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
import errno
import json
import socket
from typing import Final

from aiohttp.web import BaseRequest, Response
import pytest
import uvloop

from swiftpin.gateway import http_listener, http_protocol
from swiftpin.gateway.close_reason import CloseReason
from swiftpin.gateway.http_listener import HttpListener
from swiftpin.gateway.input_limits import InputLimits
from swiftpin.gateway.input_turns import READ_SIZE, Input, InputTurns
from swiftpin.gateway.metered_parser import MeteredParser
from swiftpin.helpers.address import Address
from swiftpin.result import ResultCode

LIMITS: Final = InputLimits(
    head_bytes=40_000,
    head_timeout=10.0,
    idle_timeout=10.0,
    held_heads=1_000_000,
)
SHORT: Final = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST: Final = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED: Final = POST + b"Transfer-Encoding: chunked\r\n\r\n"
TIMEOUT: Final = 20.0
LONG_ANSWER: Final = bytes(20_000_000)


class Client:
    """One connection to the listener."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def async_send(self, data: bytes, piece: int = 0) -> None:
        """Send data, in pieces that arrive one by one if a size is given."""
        size = piece or max(len(data), 1)
        for start in range(0, len(data), size):
            self.writer.write(data[start : start + size])
            await self.writer.drain()
            if piece:
                await asyncio.sleep(0)

    async def async_read(self) -> tuple[int, bytes]:
        """Return the status and the body of the next answer."""
        async with asyncio.timeout(TIMEOUT):
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            length = next(it for it in lines if it.startswith("content-length:"))
            body = await self.reader.readexactly(int(length.partition(":")[2]))
        return int(lines[0].split()[1]), body

    async def async_read_end(self) -> bytes:
        """Return what comes until the connection ends."""
        try:
            async with asyncio.timeout(TIMEOUT):
                return await self.reader.read()
        except ConnectionError:
            return b""


class RecordingTurns(InputTurns):
    """Turns that note for each input whether it had precedence."""

    def __init__(self) -> None:
        super().__init__()
        self.are_light: list[bool] = []

    def submit(self, connection: Input) -> None:
        """Note a connection's precedence and parse its input in its turn."""
        self.are_light.append(connection.is_light)
        super().submit(connection)


Connect = Callable[[], Awaitable[Client]]


async def async_answer(request: BaseRequest) -> Response:
    """Answer with the body of the request, or a long one, or not for a long time."""
    if request.path == "/wait":
        await asyncio.sleep(TIMEOUT)
    if request.path == "/long":
        return Response(body=LONG_ANSWER)
    return Response(body=await request.read())


@pytest.fixture(name="listener")
async def listener_fixture() -> HttpListener:
    """Return a listener that is not set up."""
    return HttpListener(
        async_answer, max_line=1_000_000, max_headers=1024, input_limits=LIMITS
    )


@pytest.fixture(name="connect")
async def connect_fixture(listener: HttpListener) -> AsyncIterator[Connect]:
    """Return a function that connects to the listener, once it is set up."""
    address = await listener.async_setup(Address(host="127.0.0.1", port=0))
    clients: list[Client] = []

    async def async_connect() -> Client:
        client = Client(*await asyncio.open_connection(address.host, address.port))
        clients.append(client)
        return client

    yield async_connect
    for client in clients:
        client.writer.transport.abort()
    await listener.async_unload()


@pytest.fixture(name="parsed")
def parsed_fixture(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return the numbers of bytes that were parsed at a time, as they come."""
    sizes: list[int] = []
    parse = MeteredParser.feed_data

    def record(self: MeteredParser, data: bytes) -> object:
        sizes.append(len(data))
        return parse(self, data)

    monkeypatch.setattr(MeteredParser, "feed_data", record)
    return sizes


def head_of(length: int, filler: bytes = b"x") -> bytes:
    """Return a request whose head has a length."""
    opening = b"GET /a HTTP/1.1\r\nHost: h\r\nX-Long: "
    return opening + filler * (length - len(opening) - 4) + b"\r\n\r\n"


@pytest.mark.parametrize("piece", [0, 1, 1000])
async def test_head_at_the_limit_is_served(connect: Connect, piece: int) -> None:
    """Guards against requests within the limits that are refused."""
    client = await connect()
    for _ in range(2):
        await client.async_send(head_of(LIMITS.head_bytes), piece)
        assert await client.async_read() == (200, b"")


async def test_head_of_many_lines_is_served(connect: Connect) -> None:
    """Guards against a limit on lines that is below the one on bytes."""
    client = await connect()
    lines = b"".join(b"x-%03d: %s\r\n" % (number, b"v" * 20) for number in range(900))
    await client.async_send(SHORT[:-2] + lines + b"\r\n")
    assert await client.async_read() == (200, b"")


@pytest.mark.parametrize("opening", [b"GET /", SHORT[:-2] + b"X-Long: ", b"\r\n", b""])
async def test_refused_client_gets_its_answer(connect: Connect, opening: bytes) -> None:
    """Guards against a client that sends on and so loses the answer to its request."""
    client = await connect()
    await client.async_send(opening)
    await client.async_send((opening if opening == b"\r\n" else b"x") * 1_000_000)
    status, body = await client.async_read()
    assert status in {400, 431}
    assert json.loads(body)["executed"] == "no"
    assert await client.async_read_end() == b""


async def test_refused_client_is_closed_though_it_sends_on(
    connect: Connect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refused connections that take bytes without end."""
    monkeypatch.setattr(http_protocol, "MAX_DISCARDED", 100_000)
    client = await connect()

    async def async_send_on() -> None:
        while True:
            await client.async_send(b"x" * 100_000)

    with pytest.raises(ConnectionError):
        await asyncio.wait_for(async_send_on(), TIMEOUT)


async def test_pieces_of_a_body_are_not_parsed_again(
    connect: Connect, parsed: list[int]
) -> None:
    """Guards against chunks of one byte that take the processor one by one."""
    client = await connect()
    await client.async_send(CHUNKED + b"1\r\nx\r\n" * 5000 + b"0\r\n\r\n")
    assert await client.async_read() == (200, b"x" * 5000)
    assert parsed.count(0) < 100


async def test_discarded_input_has_no_precedence() -> None:
    """Guards against ordinary requests that wait for what is discarded."""
    turns = RecordingTurns()
    listener = HttpListener(
        async_answer,
        max_line=1_000_000,
        max_headers=1024,
        input_limits=LIMITS,
        turns=turns,
    )
    address = await listener.async_setup(Address(host="127.0.0.1", port=0))
    reader, writer = await asyncio.open_connection(address.host, address.port)
    client = Client(reader, writer)
    await client.async_send(SHORT[:-2] + b"Connection: close\r\n\r\n" + b"x" * 200_000)
    await client.async_read()
    assert await client.async_read_end() == b""
    writer.transport.abort()
    await listener.async_unload()
    assert turns.are_light[0]
    assert not turns.are_light[-1]


def test_new_connections_are_accepted_at_once() -> None:
    """Guards against a crowd's connections that are accepted one in each turn."""

    async def async_count_turns() -> int:
        listener = HttpListener(async_answer, max_line=1000, max_headers=100)
        address = await listener.async_setup(Address(host="127.0.0.1", port=0))
        place = (address.host, address.port)
        clients = [socket.create_connection(place) for _ in range(64)]
        turns = 0
        while listener._server.open_connections < len(clients):
            await asyncio.sleep(0)
            turns += 1
        for client in clients:
            client.close()
        await listener.async_unload()
        return turns

    assert uvloop.run(async_count_turns()) < 32


async def test_a_setup_that_fails_listens_no_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a port that stays taken when descriptors run out at the start."""
    open_handle = socket.fromfd
    opened: list[socket.socket] = []

    def open_two_handles(*arguments: int) -> socket.socket:
        if len(opened) == 2:
            raise OSError(errno.EMFILE, "no descriptors left")
        opened.append(open_handle(*arguments))
        return opened[-1]

    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    monkeypatch.setattr(socket, "fromfd", open_two_handles)
    listener = HttpListener(async_answer, max_line=1000, max_headers=100)
    with pytest.raises(OSError, match="no descriptors left"):
        await listener.async_setup(Address(host="127.0.0.1", port=port))
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port))


async def test_new_limits_hold_on_open_connections(
    listener: HttpListener, connect: Connect
) -> None:
    """Guards against limits of an earlier configuration on kept connections."""
    client = await connect()
    await client.async_send(SHORT)
    await client.async_read()
    listener.set_input_limits(replace(LIMITS, head_bytes=80_000))
    await client.async_send(head_of(80_000))
    assert await client.async_read() == (200, b"")
    listener.set_input_limits(replace(LIMITS, head_bytes=1000))
    await client.async_send(head_of(1000 + 2 * READ_SIZE))
    assert (await client.async_read())[0] == 431


async def test_pipelined_requests_are_answered_in_order(connect: Connect) -> None:
    """Guards against requests that are lost since reading is paused."""
    client = await connect()
    requests = [
        POST + b"Content-Length: 3\r\n\r\n%03d" % number for number in range(200)
    ]
    await client.async_send(b"".join(requests))
    for number in range(200):
        assert await client.async_read() == (200, b"%03d" % number)


@pytest.mark.parametrize(
    "switch",
    [
        SHORT[:-2] + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        POST + b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 0\r\n\r\n",
        POST + b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 2\r\n\r\nab",
        b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
    ],
)
async def test_connection_ends_with_a_request_to_switch(
    connect: Connect, switch: bytes
) -> None:
    """Guards against bytes that are held for a protocol which is never spoken.

    Some of them would be dropped, and the rest taken for another request.
    """
    client = await connect()
    await client.async_send(switch + SHORT)
    answer = await client.async_read_end()
    assert answer.count(b" 200 ") == 1
    assert b"connection: close" in answer.lower()


@pytest.mark.parametrize("piece", [0, 1, 1000])
async def test_body_in_chunks_of_one_byte_is_served(
    connect: Connect, piece: int
) -> None:
    """Guards against bodies within the limits that are refused for their chunks."""
    client = await connect()
    body = bytes(range(256)) * 20
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    await client.async_send(CHUNKED + chunks + b"0\r\nX-T: 1\r\n\r\n", piece)
    assert await client.async_read() == (200, body)


@pytest.mark.parametrize(
    ("opening", "repeated"),
    [(b"1;", b"e"), (b"", b"0"), (b"1\r\nx\r\n0\r\n", b"x-trailer: value\r\n")],
    ids=["extension", "size", "trailers"],
)
async def test_framing_without_data_ends_a_body(
    connect: Connect, opening: bytes, repeated: bytes
) -> None:
    """Guards against bodies in chunks that carry no data and have no end."""
    client = await connect()
    await client.async_send(CHUNKED + opening)
    await client.async_send(repeated * 200_000)
    answer = await client.async_read_end()
    assert b" 200 " not in answer


async def test_bytes_parsed_at_a_time_are_bounded(
    connect: Connect, parsed: list[int]
) -> None:
    """Guards against a client that keeps the event loop busy with what it has sent."""
    client = await connect()
    body = bytes(500_000)
    await client.async_send(POST + b"Content-Length: 500000\r\n\r\n" + body)
    assert await client.async_read() == (200, body)
    assert max(parsed) <= READ_SIZE


async def test_requests_behind_a_slow_one_are_not_read(
    connect: Connect, parsed: list[int]
) -> None:
    """Guards against a client that fills the memory while a request is served."""
    client = await connect()
    await client.async_send(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
    client.writer.write(SHORT * 100_000)
    await asyncio.sleep(1.0)
    assert 0 < sum(parsed) <= 3 * READ_SIZE


async def test_unfinished_heads_are_bounded_together(
    listener: HttpListener, connect: Connect
) -> None:
    """Guards against many clients that each hold a head within the limits."""
    crowd = [await connect() for _ in range(40)]
    for client in crowd:
        await client.async_send(head_of(39_000)[:-4])
    client = await connect()
    await client.async_send(head_of(39_000))
    assert await client.async_read() == (200, b"")
    assert listener._server.held_heads <= LIMITS.held_heads
    assert await crowd[0].async_read_end() == b""
    for client in crowd:
        client.writer.transport.abort()
    async with asyncio.timeout(TIMEOUT):
        while listener._server.held_heads:  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def test_silent_connection_makes_room(
    listener: HttpListener, connect: Connect
) -> None:
    """Guards against silent clients that take all connections."""
    listener.set_max_connections(2, 2)
    silent = [await connect() for _ in range(2)]
    client = await connect()
    await client.async_send(SHORT)
    assert await client.async_read() == (200, b"")
    assert await silent[0].async_read_end() == b""
    assert listener.closed == {CloseReason.REPLACED: 1}


async def test_connection_is_refused_beside_served_ones(
    listener: HttpListener, connect: Connect
) -> None:
    """Guards against a request that is cut off for a new connection."""
    listener.set_max_connections(1, 1)
    served = await connect()
    await served.async_send(POST + b"Content-Length: 2\r\n\r\na")
    while not listener.count_requesting_connections():  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    assert await (await connect()).async_read_end() == b""
    await served.async_send(b"b")
    assert await served.async_read() == (200, b"ab")


@pytest.mark.parametrize("opening", [b"", SHORT[:-2], SHORT])
async def test_silent_connection_is_closed(
    listener: HttpListener, connect: Connect, opening: bytes
) -> None:
    """Guards against connections that stay open without a request."""
    client = await connect()
    await client.async_send(opening)
    if opening == SHORT:
        await client.async_read()
    listener.set_input_limits(replace(LIMITS, head_timeout=0.1, idle_timeout=0.1))
    assert await client.async_read_end() == b""


async def test_unread_answer_is_given_up(
    connect: Connect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against answers that are held for ever for a client that doesn't read."""
    monkeypatch.setattr(http_protocol, "STALL_LIMIT", 0.1)
    client = await connect()
    client.reader._transport.pause_reading()  # type: ignore[attr-defined]
    await client.async_send(b"GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
    await asyncio.sleep(10 * http_listener.CHECK_INTERVAL)
    client.reader._transport.resume_reading()  # type: ignore[attr-defined]
    received = await client.async_read_end()
    assert len(received) < len(LONG_ANSWER)


async def test_too_many_heads_are_a_promise(
    listener: HttpListener, connect: Connect
) -> None:
    """Guards against a refusal for lack of memory that a client doesn't retry."""
    listener.set_input_limits(replace(LIMITS, held_heads=0))
    client = await connect()
    await client.async_send(head_of(39_000))
    answer = await client.async_read_end()
    if answer:
        head, _, body = answer.partition(b"\r\n\r\n")
        assert b" 503 " in head
        assert b"retry-after" in head.lower()
        assert json.loads(body)["code"] == ResultCode.OVERLOADED


@pytest.mark.parametrize(
    "opening",
    [b"", SHORT[:-2], b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", CHUNKED],
    ids=["silent", "head", "served", "body"],
)
async def test_listener_is_unloaded_beside_clients(
    listener: HttpListener, connect: Connect, opening: bytes
) -> None:
    """Guards against a process that its clients keep from ending."""
    clients = [await connect() for _ in range(5)]
    for client in clients:
        await client.async_send(opening)
    await asyncio.sleep(0.1)
    late = [await connect() for _ in range(5)]
    await asyncio.wait_for(listener.async_unload(), TIMEOUT / 4)
    for client in (*clients, *late):
        assert await client.async_read_end() == b""
