"""Client side of a connection to a server."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Final

from aiohttp import ClientPayloadError, StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage

from swiftpin.core import callback
from swiftpin.helpers.connection_reset import reset_connection

MAX_HEAD_LENGTH: Final = 64 * 1024
"""Bytes that a server may send before the end of its answer's head, interim answers
included."""

MAX_QUEUED_HEADS: Final = 16
"""Heads that may arrive before they are read. A server that sends more answers than it
got requests would otherwise fill the memory while a caller reads the first one."""


class ServerProtocol(ResponseHandler):
    """Tells a reset from an orderly end, and bounds what arrives unread.

    An answer without a length ends with its connection. The library takes any end for
    such an answer's end; after a reset a cut-off answer would look whole. It stops
    reading from the socket while a body is not read, but parses any number of heads.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._is_idle = True
        self._awaits_head = False
        self._head_length = 0

    @callback
    def begin_head(self) -> None:
        """Await the head of an answer from now on."""
        self._is_idle = False
        self._awaits_head = True
        self._head_length = 0

    @callback
    def end_exchange(self) -> None:
        """Expect no bytes until the next request."""
        self._is_idle = True

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; give up a connection whose server sends too much."""
        if self._is_idle:
            # The library passes no bytes when it resumes reading.
            if data:
                self._give_up("bytes arrived without a request")
            return
        super().data_received(data)
        if not self._awaits_head:
            return
        self._head_length += len(data)
        if self._head_length > MAX_HEAD_LENGTH:
            self._give_up(f"no head within {MAX_HEAD_LENGTH} bytes")

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Queue the head and the body of an answer for whoever awaits it."""
        if len(self._buffer) >= MAX_QUEUED_HEADS:
            self._give_up(f"more than {MAX_QUEUED_HEADS} answers at once")
            return
        if data[0].code >= HTTPStatus.OK:
            self._awaits_head = False
        super().feed_data(data, size)

    @callback
    def _give_up(self, reason: str) -> None:
        """Close the connection; whoever awaits a head gets an error."""
        if self.exception() is None:
            self.set_exception(HttpProcessingError(message=reason))
        if self.transport is not None:
            reset_connection(self.transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note that the connection ended."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"the connection broke: {exc!r}"))
        super().connection_lost(exc)
