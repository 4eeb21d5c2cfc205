"""Delivery of a long answer to a caller that may read slowly."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import fcntl
import struct
import termios
from typing import Final

from aiohttp.abc import AbstractStreamWriter

from swiftpin.capacity.admission import Holding
from swiftpin.capacity.reader_progress import ReaderProgress, SlowReason
from swiftpin.core import callback
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.helpers.connection_reset import reset_connection

MAX_WRITE_BUFFER: Final = 64 * 1024
"""Bytes that are written to a caller's connection at a time, and that its write buffer
may hold before the next ones are written."""

COUNT: Final = struct.Struct("i")


class Delivery:
    """Writes an answer as its caller reads it, and knows how much the caller took.

    What the kernel has buffered for the caller isn't taken yet. A kernel that buffers
    megabytes accepts nothing for tens of seconds while the caller reads them.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        holding: Holding,
        on_end: Callable[[Delivery], None],
        now: float,
    ) -> None:
        self.written = 0
        self._transport = transport
        self._holding = holding
        self._on_end = on_end
        self._progress = ReaderProgress(now)

    @property
    def undelivered(self) -> int:
        """Return the bytes of the answer that were not written to the connection."""
        return max(self._holding.length - self.written, 0)

    async def async_relay(
        self,
        writer: AbstractStreamWriter,
        answer: HttpAnswer,
        first_chunks: list[bytes],
    ) -> None:
        """Write the body, and return when no byte of it is buffered any more.

        `first_chunks` is the part that was read so far. It is emptied as it is written.
        """
        first_chunks.reverse()
        while first_chunks:
            await self._async_write(writer, first_chunks.pop())
        while chunk := await answer.async_read_chunk():
            await self._async_write(writer, chunk)
        await writer.write_eof()
        await self._async_flush(writer)

    async def _async_write(self, writer: AbstractStreamWriter, chunk: bytes) -> None:
        """Write a chunk in parts that are bounded by the write buffer."""
        if len(chunk) <= MAX_WRITE_BUFFER:
            await writer.write(chunk)
            await writer.drain()
            self.written += len(chunk)
            return
        view = memoryview(chunk)
        for start in range(0, len(view), MAX_WRITE_BUFFER):
            part = view[start : start + MAX_WRITE_BUFFER]
            await writer.write(part)
            await writer.drain()
            self.written += len(part)

    async def _async_flush(self, writer: AbstractStreamWriter) -> None:
        """Wait until the kernel has accepted everything."""
        transport = self._transport
        if transport.is_closing():
            return
        low, high = transport.get_write_buffer_limits()
        transport.set_write_buffer_limits(high=0)
        await writer.drain()
        if not transport.is_closing():
            transport.set_write_buffer_limits(high=high, low=low)

    @callback
    def check(self, min_rate: float, now: float) -> SlowReason | None:
        """Return why the caller is too slow to be served, None if it isn't."""
        transport = self._transport
        if transport.is_closing():
            return None
        buffered = transport.get_write_buffer_size()
        self._holding.keep(self.undelivered + buffered)
        waiting = buffered + _unacknowledged_bytes(transport)
        taken = self.written - waiting
        return self._progress.update(
            taken, is_waiting=waiting > 0, min_rate=min_rate, now=now
        )

    @callback
    def cut_off(self) -> None:
        """Reset the connection, so that the answer doesn't look complete."""
        reset_connection(self._transport)

    @callback
    def end(self) -> None:
        """Stop being checked."""
        self._on_end(self)


@callback
def _unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the kernel holds for the peer, 0 if it doesn't tell."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return 0
    try:
        reply = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
    except OSError:
        return 0
    (count,) = COUNT.unpack(reply)
    return int(count)
