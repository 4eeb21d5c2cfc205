"""Copies bytes between two connections until both sides have ended."""

from __future__ import annotations

import asyncio
import socket
from typing import Final

from swiftpin.gateway.answer_writer import RESET_ON_CLOSE

CHUNK_SIZE: Final = 64 * 1024

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def async_splice(one: Stream, other: Stream) -> None:
    """Copy both ways; ends and resets are passed on as what they are.

    A reset passed on as an ordinary end could make a cut answer without a length
    look whole.
    """
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(_async_copy(one[0], other[1]))
            group.create_task(_async_copy(other[0], one[1]))
    except* OSError:
        for _, writer in (one, other):
            _reset(writer)
    finally:
        for _, writer in (one, other):
            writer.close()


async def _async_copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copy one way and pass the end on."""
    while chunk := await reader.read(CHUNK_SIZE):
        writer.write(chunk)
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection in such a way that the other side sees a reset."""
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
