"""Copies bytes between two connections until both sides have ended."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.helpers.connection_reset import reset_connection

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
            reset_connection(writer.transport)
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
