"""Tests of length-prefixed frames on a connection."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest
import uvloop

from swiftpin.fleet.frame_stream import (
    MAX_ARRIVING_BYTES,
    MAX_FRAME_SIZE,
    FrameBudget,
    FrameError,
    FrameStream,
)
from swiftpin.fleet.proto import fleet_pb2 as pb

HELLO = pb.Frame(items=[pb.Item(hello=pb.Hello(incarnation="a/1"))])
ENCODED = HELLO.SerializeToString()


@pytest.fixture(name="ends")
async def ends_fixture() -> AsyncIterator[tuple[FrameStream, asyncio.StreamWriter]]:
    """Yield the stream of the receiving side and the writer of the sending side."""
    accepted: asyncio.Queue[FrameStream] = asyncio.Queue()

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.put_nowait(FrameStream(reader, writer))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    _, writer = await asyncio.open_connection(host, port)
    stream = await accepted.get()
    yield stream, writer
    writer.close()
    stream.close()
    server.close()


async def test_frames_arrive_as_sent(
    ends: tuple[FrameStream, asyncio.StreamWriter],
) -> None:
    """Frames sent together or in pieces are received unchanged, then the end."""
    stream, writer = ends
    sender = FrameStream(asyncio.StreamReader(), writer)
    await sender.send_message(HELLO)
    await sender.send_message(pb.Frame())
    assert await stream.recv_message() == HELLO
    assert await stream.recv_message() == pb.Frame()
    encoded_frame = len(ENCODED).to_bytes(4, "big") + ENCODED
    writer.write(encoded_frame[:6])
    await asyncio.sleep(0)
    writer.write(encoded_frame[6:])
    assert await stream.recv_message() == HELLO
    writer.close()
    assert await stream.recv_message() is None


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0",
        len(ENCODED).to_bytes(4, "big") + ENCODED[:-1],
        (MAX_FRAME_SIZE + 1).to_bytes(4, "big"),
        b"\0\0\0\2\xff\xff",
    ],
    ids=["cut length", "cut frame", "too long", "no frame"],
)
async def test_invalid_frame_is_an_error(
    ends: tuple[FrameStream, asyncio.StreamWriter], data: bytes
) -> None:
    """Guards against truncated or invalid data accepted as a frame."""
    stream, writer = ends
    writer.write(data)
    writer.close()
    with pytest.raises(FrameError):
        await stream.recv_message()


def test_send_on_a_closed_connection_is_a_connection_error() -> None:
    """Guards against links that are not opened again after their connection is reset.

    The event loop of instances raises `RuntimeError` for a write to a closed transport.
    """

    async def async_send_after_close() -> None:
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        stream = FrameStream(reader, writer)
        writer.transport.abort()
        await asyncio.sleep(0)
        try:
            with pytest.raises(OSError, match="closed"):
                await stream.send_message(pb.Frame())
        finally:
            server.close()

    uvloop.run(async_send_after_close())


async def test_frames_that_arrive_are_bounded_together() -> None:
    """Guards against many peers that each announce a long frame."""
    budget = FrameBudget()
    with contextlib.ExitStack() as arriving:
        for _ in range(MAX_ARRIVING_BYTES // MAX_FRAME_SIZE):
            arriving.enter_context(budget.reserve(MAX_FRAME_SIZE))
        with pytest.raises(FrameError), budget.reserve(1):
            pass
    with budget.reserve(MAX_FRAME_SIZE):
        pass
