"""A server whose answers have no end."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
from enum import Enum
import time
from typing import Final

PIECE: Final = 16 * 1024
MAX_SENT: Final = 1024 * 1024 * 1024
MAX_SECONDS: Final = 30.0
"""Bytes and seconds after which a connection is closed in any case."""

HEAD: Final = b"HTTP/1.1 200 OK\r\n"
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n\r\n"
SHORT_ANSWER: Final = HEAD + b"Content-Length: 2\r\n\r\nok"


class Endless(Enum):
    """What a server sends without end."""

    STATUS_LINE = "status line"
    HEADER = "header"
    HEADERS = "headers"
    INTERIM = "interim answers"
    BLANK_LINES = "blank lines"
    GARBAGE = "bytes that are no answer"
    STATED_BODY = "body of a stated length"
    CHUNKS = "chunks"
    CHUNK_EXTENSION = "chunk extension"
    TRAILERS = "trailers"
    UNFRAMED_BODY = "body without a length"
    ANSWERS = "answers"


IN_HEAD: Final = (
    Endless.STATUS_LINE,
    Endless.HEADER,
    Endless.HEADERS,
    Endless.INTERIM,
    Endless.BLANK_LINES,
    Endless.GARBAGE,
)
IN_BODY: Final = (
    Endless.STATED_BODY,
    Endless.CHUNKS,
    Endless.CHUNK_EXTENSION,
    Endless.TRAILERS,
    Endless.UNFRAMED_BODY,
)


def opening(kind: Endless, headers: bytes = b"") -> bytes:
    """Return what is sent once, before the endless part."""
    head = HEAD + headers
    match kind:
        case Endless.STATUS_LINE:
            return b"HTTP/1.1 200 "
        case Endless.HEADER:
            return head + b"X-Long: "
        case Endless.HEADERS:
            return head
        case Endless.STATED_BODY:
            return head + b"Content-Length: 1000000000000\r\n\r\n"
        case Endless.CHUNKS:
            return head + CHUNKED
        case Endless.CHUNK_EXTENSION:
            return head + CHUNKED + b"2;x="
        case Endless.TRAILERS:
            return head + CHUNKED + b"2\r\nok\r\n0\r\n"
        case Endless.UNFRAMED_BODY:
            return head + b"\r\n"
        case Endless.ANSWERS:
            return head + b"Content-Length: 2\r\n\r\nok"
        case Endless.INTERIM | Endless.BLANK_LINES | Endless.GARBAGE:
            return b""


def repeated(kind: Endless) -> bytes:
    """Return the piece that is sent again and again."""
    match kind:
        case Endless.HEADERS | Endless.TRAILERS:
            return b"X-More: 1\r\n" * 1000
        case Endless.INTERIM:
            return b"HTTP/1.1 102 Processing\r\n\r\n" * 500
        case Endless.BLANK_LINES:
            return b"\r\n" * (PIECE // 2)
        case Endless.CHUNKS:
            return b"%x\r\n" % PIECE + b"x" * PIECE + b"\r\n"
        case Endless.ANSWERS:
            return SHORT_ANSWER * 200
        case _:
            return b"x" * PIECE


class EndlessServer:
    """Answers each request without end, until the other side closes."""

    def __init__(self, kind: Endless, headers: bytes = b"") -> None:
        self.kind = kind
        self.headers = headers
        self.pause = 0.0
        """Seconds between two pieces."""

        self.sent = 0
        self.requests: list[bytes] = []
        """First line of each request."""

        self.connections = 0
        """Connections that carried a request; a probe of the link carries none."""

        self.closed = 0
        """Such connections that the other side has closed."""

        self.address = ""
        self._server: asyncio.Server | None = None

    async def async_setup(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def async_unload(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def async_wait_until_closed(self, limit: float) -> None:
        """Wait until all connections are closed by the other side."""
        async with asyncio.timeout(limit):
            while self.closed < self.connections:  # noqa: ASYNC110  # polled
                await asyncio.sleep(0.01)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()
            return
        self.connections += 1
        self.requests.append(head.partition(b"\r\n")[0])
        with contextlib.suppress(ConnectionError):
            for piece in self._pieces():
                writer.write(piece)
                await writer.drain()
                self.sent += len(piece)
                await asyncio.sleep(self.pause)
        self.closed += 1
        writer.transport.abort()

    def _pieces(self) -> Iterator[bytes]:
        """Yield what is sent on one connection."""
        yield opening(self.kind, self.headers)
        ends_at = time.monotonic() + MAX_SECONDS
        piece = repeated(self.kind)
        for _ in range(MAX_SENT // len(piece)):
            if time.monotonic() > ends_at:
                return
            yield piece
