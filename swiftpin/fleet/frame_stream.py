"""Length-prefixed frames on a connection between two instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
import contextlib
from typing import Any, Final

from google.protobuf.message import DecodeError

from swiftpin.core import callback
from swiftpin.exceptions import SwiftpinError
from swiftpin.fleet.link_traffic import LinkTraffic
from swiftpin.fleet.proto import fleet_pb2 as pb

LENGTH_BYTES: Final = 4
"""Size of the length prefix of each frame; the length is big-endian."""

MAX_FRAME_SIZE: Final = 4 * 1024 * 1024
"""Maximum size of a frame in bytes. Documents are sent in fragments of 4 KiB."""

MAX_FIRST_FRAME_SIZE: Final = 64 * 1024
"""Maximum size in bytes of a frame of a peer that has not said who it is."""

MAX_ARRIVING_BYTES: Final = 16 * 1024 * 1024
"""Maximum size in bytes of all frames together that are being received."""

CLOSE_TIMEOUT: Final = 1.0
"""Seconds to flush the last frames before the connection is aborted; the other side may
have stopped reading."""


class FrameError(SwiftpinError):
    """The other side sent an invalid frame."""


class FrameBudget:
    """Bounds the memory for frames that are being received on all links."""

    def __init__(self) -> None:
        self._available = MAX_ARRIVING_BYTES

    @contextlib.contextmanager
    def reserve(self, length: int) -> Iterator[None]:
        """Reserve memory for a frame; raise `FrameError` if there is too little."""
        if length > self._available:
            raise FrameError(f"no memory for a frame of {length} bytes")
        self._available -= length
        try:
            yield
        finally:
            self._available += length


class FrameStream:
    """Sends and receives length-prefixed frames.

    Uses plain TCP instead of gRPC: a frame with one item costs 0.02 ms of CPU time at
    both ends together, compared with 0.11 ms as a gRPC message, mostly for HTTP/2 in
    Python (averages of 5,000 exchanges). An instance sends some 100 frames per second.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        traffic: LinkTraffic | None = None,
        *,
        max_size: Callable[[], int] = lambda: MAX_FRAME_SIZE,
        budget: FrameBudget | None = None,
    ) -> None:
        """Create a stream; `max_size` returns the maximum size of the next frame."""
        self._max_size = max_size
        self._budget = budget or FrameBudget()
        self._reader = reader
        self._writer = writer
        self._traffic = traffic or LinkTraffic()

    async def send_message(self, message: Any) -> None:  # noqa: ANN401  # generated
        """Send a frame; wait while the send buffer is full."""
        if self._writer.transport.is_closing():
            # uvloop raises `RuntimeError` for a write to a closed transport.
            raise ConnectionResetError("the connection is closed")
        body = message.SerializeToString()
        self._traffic.count_bytes(LENGTH_BYTES + len(body))
        self._writer.write(len(body).to_bytes(LENGTH_BYTES, "big") + body)
        await self._writer.drain()

    async def recv_message(self) -> Any:  # noqa: ANN401  # generated
        """Return the next frame, None at the end of the stream."""
        try:
            head = await self._reader.readexactly(LENGTH_BYTES)
        except asyncio.IncompleteReadError as err:
            if err.partial:
                raise FrameError("connection closed within a length prefix") from err
            return None
        length = int.from_bytes(head, "big")
        if length > self._max_size():
            raise FrameError(f"frame of {length} bytes exceeds the limit")
        try:
            with self._budget.reserve(length):
                return pb.Frame.FromString(await self._reader.readexactly(length))
        except asyncio.IncompleteReadError as err:
            raise FrameError("connection closed within a frame") from err
        except DecodeError as err:
            raise FrameError(f"malformed frame: {err}") from err

    @callback
    def close(self) -> None:
        """Close the connection, but allow time to flush the last frames."""
        self._writer.close()
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSE_TIMEOUT, self._writer.transport.abort)
