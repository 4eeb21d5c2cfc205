"""Connections of an HTTP server whose clients may misbehave."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from http import HTTPStatus
import math
import select
from typing import Any, Final, cast

from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web import BaseRequest, Response, Server, StreamResponse
from aiohttp.web import RequestHandler as HttpProtocol

from swiftpin.const import HEADER_RESULT
from swiftpin.core import callback
from swiftpin.exceptions import (
    MalformedRequestError,
    OverloadedError,
    RequestError,
    RequestTooLargeError,
)
from swiftpin.gateway.close_reason import CloseReason
from swiftpin.gateway.connection_table import ConnectionPhase, ConnectionTable
from swiftpin.gateway.error_answer import error_body, error_headers
from swiftpin.gateway.input_limits import InputLimits
from swiftpin.gateway.input_turns import InputTurns
from swiftpin.gateway.metered_parser import (
    MAX_QUEUED_REQUESTS,
    READ_BUFFER,
    HeadsHeldError,
    MeteredParser,
)
from swiftpin.helpers.connection_reset import reset_connection

HttpHandler = Callable[[BaseRequest], Awaitable[StreamResponse]]

MAX_DISCARDED: Final = 4 * 1024 * 1024
"""Bytes that a client may send after its request was refused. Until it reads the answer
it may send on, and a reset would make it lose the answer."""

WRITE_BUFFER: Final = 16 * 1024
"""Bytes of answers that are buffered for a client before it has to read."""

STALL_LIMIT: Final = 30.0
"""Seconds for which a client may read nothing while an answer waits for it."""

HEADS_HELD_RETRY_AFTER: Final = 1.0
"""Seconds after which a client may return that was refused for the heads of others."""


class GatewayProtocol(HttpProtocol):
    """Connection with bounds on what its client sends and leaves unread.

    Requests that can't be parsed get a numbered answer too.
    """

    def __init__(
        self,
        server: GatewayServer,
        *,
        loop: asyncio.AbstractEventLoop,
        max_line_size: int,
        max_headers: int,
        **options: Any,  # noqa: ANN401  # passed on
    ) -> None:
        super().__init__(server, loop=loop, read_bufsize=READ_BUFFER, **options)
        self.unclaimed_input = 0
        """Bytes that arrived since the last head was complete, discarded ones too."""

        self._server = server
        self._input = MeteredParser(
            self,
            loop,
            limits=lambda: server.input_limits,
            hold=server.hold_heads,
            max_line=max_line_size,
            max_headers=max_headers,
        )
        self._parser = cast(HttpRequestParser, self._input)
        # The parser keeps what follows the last request that it may queue.
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._is_input_held = False
        self._is_discarding = False
        self._discarded = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection, or close it if too many are open."""
        super().connection_made(transport)
        if self.transport is None:
            return
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER)
        self._server.add_connection(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget what the client has sent."""
        self._server.remove_connection(self)
        self._input.close()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived, or discard it after the last answer."""
        if self._is_discarding or self._input.has_ended:
            self._discard(data)
            return
        self.unclaimed_input += len(data)
        known = len(self._messages)
        super().data_received(data)
        if self._input.has_ended:
            self._forget_traceback()
        if len(self._messages) > known:
            self.unclaimed_input = 0
            self._server.enter(self, ConnectionPhase.SERVING)
        elif self._input.has_partial_head:
            self._server.begin_head(self)

    def pause_writing(self) -> None:
        """Note that the client reads too slowly."""
        super().pause_writing()
        self._server.begin_stall(self)

    def resume_writing(self) -> None:
        """Note that the client has read what was written."""
        super().resume_writing()
        self._server.end_stall(self)

    @callback
    def hold_input(self) -> None:
        """Read nothing more until the input is released."""
        self._is_input_held = True
        super()._pause_transport_reading()

    @callback
    def release_input(self) -> None:
        """Read on, unless the library has paused the connection."""
        if not self._is_input_held:
            return
        self._is_input_held = False
        if not self._reading_paused and not self._buffer_paused:
            super()._resume_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on if a body that was not read has paused the connection.

        The library calls it, and would run the parser, for each piece of a body that is
        read. A piece may be one byte long.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _resume_transport_reading(self) -> None:
        """Read on, unless the input is held."""
        if not self._is_input_held:
            super()._resume_transport_reading()

    @callback
    def unread_answers(self) -> int:
        """Return the bytes of answers that wait for the client."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @callback
    def release_heads(self) -> None:
        """Parse nothing more, and release the memory of heads."""
        self._input.close()

    @callback
    def reset(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            reset_connection(self.transport)

    @callback
    def has_caller_left(self) -> bool:
        """Return whether the caller has closed its side of the connection.

        The event loop reads a request that lay unread before it notices the end of its
        connection.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(
            self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP
        )
        return bool(poll.poll(0))

    async def finish_response(
        self, request: BaseRequest, resp: StreamResponse, start_time: float | None
    ) -> tuple[StreamResponse, bool]:
        """Finish an answer; let the client read the last one before it is closed.

        A further request that is queued waits for its turn. The library would handle
        all that were sent ahead without returning to the event loop.
        """
        finished = await super().finish_response(request, resp, start_time)
        self._input.end_request()
        if not resp.keep_alive:
            if self._has_unread_input(request):
                await self._async_linger()
        elif self._messages:
            await self._server.turns.async_wait_queued()
        elif self.transport is not None:
            self._server.enter(self, ConnectionPhase.IDLE)
        return finished

    def handle_error(
        self,
        request: BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Return the answer to a request that is not HTTP, and end the connection."""
        err = _parse_error(exc)
        self._server.on_unparsed(err)
        headers = error_headers(err)
        headers[HEADER_RESULT] = str(err.code.value)
        response = Response(status=err.status, headers=headers, body=error_body(err))
        response.force_close()
        return response

    @callback
    def _has_unread_input(self, request: BaseRequest) -> bool:
        """Return whether the client has sent more than was read."""
        return (
            self._input.has_ended
            or bool(self._messages)
            or not request.content.is_eof()
        )

    async def _async_linger(self) -> None:
        """Discard what the client still sends until it closes or takes too long.

        A connection that is closed with unread bytes is reset, and the client may lose
        the answer.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        limit, self._lingering_time = self._lingering_time, 0.0
        self._is_discarding = True
        self._server.enter(self, ConnectionPhase.LINGERING)
        if transport.can_write_eof():
            transport.write_eof()
        self._buffer_paused = False
        super().resume_reading(resume_parser=False)
        await asyncio.sleep(limit)

    @callback
    def _discard(self, data: bytes) -> None:
        """Discard bytes that belong to no request, within a limit."""
        self.unclaimed_input += len(data)
        self._discarded += len(data)
        if self._discarded > MAX_DISCARDED:
            self._server.close(self, CloseReason.SENT_ON)

    @callback
    def _forget_traceback(self) -> None:
        """Let go of what was parsed when the last error was found.

        Its traceback refers to the data and, by way of the queue, to itself.
        """
        if self._messages:
            error = getattr(self._messages[-1][0], "exc", None)
            if isinstance(error, BaseException):
                error.__traceback__ = None


class GatewayServer(Server):
    """Makes a `GatewayProtocol` for each connection, and bounds them together."""

    def __init__(
        self,
        handler: HttpHandler,
        *,
        input_limits: InputLimits,
        turns: InputTurns,
        on_unparsed: Callable[[RequestError], None],
        **options: Any,  # noqa: ANN401  # passed on
    ) -> None:
        super().__init__(handler, handler_cancellation=True, **options)
        self.input_limits = input_limits
        self.turns = turns
        self.on_unparsed = on_unparsed
        """Is told of each request that can't be parsed: no handler sees it."""

        self.served_connections: float = math.inf
        """Open connections from which on silent ones are closed for new ones."""

        self.max_connections: float = math.inf
        """Connections that may be open; a further one is closed at once."""

        self.closed: Counter[CloseReason] = Counter()
        """Connections that were closed because of their clients or for others."""

        self.held_heads = 0
        """Bytes of memory that long heads of unanswered requests take."""

        self._table: ConnectionTable[GatewayProtocol] = ConnectionTable()
        self._stalls_by_connection: dict[GatewayProtocol, tuple[float, int]] = {}
        """When a client began to read nothing, and the bytes that waited for it."""

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def requesting_connections(self) -> int:
        """Return the number of open connections that have sent a request."""
        return self._table.count_requesting()

    def __call__(self) -> GatewayProtocol:
        """Return the protocol of a new connection."""
        return GatewayProtocol(self, loop=self._loop, **self._kwargs)

    @callback
    def add_connection(self, connection: GatewayProtocol) -> None:
        """Make room for a new connection, or close it."""
        now = self._loop.time()
        if self.open_connections > self.served_connections:
            replaced = self._table.choose_replaced(now)
            if replaced is not None:
                self.close(replaced, CloseReason.REPLACED)
            elif self.open_connections > self.max_connections:
                self.close(connection, CloseReason.CROWDED)
                return
        self._table.enter(connection, ConnectionPhase.FRESH, now)

    @callback
    def remove_connection(self, connection: GatewayProtocol) -> None:
        """Forget a connection that was closed."""
        self._table.leave(connection)
        self._stalls_by_connection.pop(connection, None)

    @callback
    def enter(self, connection: GatewayProtocol, phase: ConnectionPhase) -> None:
        """Move an open connection to a phase."""
        if connection.transport is not None:
            self._table.enter(connection, phase, self._loop.time())

    @callback
    def begin_head(self, connection: GatewayProtocol) -> None:
        """Note that a head has begun, unless a request is served meanwhile."""
        phase = self._table.phase(connection)
        if phase in {ConnectionPhase.FRESH, ConnectionPhase.IDLE}:
            self.enter(connection, ConnectionPhase.HEAD)

    @callback
    def hold_heads(self, change: int) -> bool:
        """Change the memory that heads take; return whether there is room for it.

        The heads that have been incomplete for longest make room for others.
        """
        self.held_heads += change
        while change > 0 and self.held_heads > self.input_limits.held_heads:
            oldest = self._table.oldest(ConnectionPhase.HEAD)
            if oldest is None:
                self.held_heads -= change
                return False
            self.close(oldest, CloseReason.HEADS)
        return True

    @callback
    def begin_stall(self, connection: GatewayProtocol) -> None:
        """Note that a client must read before more is written."""
        unread = connection.unread_answers()
        self._stalls_by_connection[connection] = (self._loop.time(), unread)

    @callback
    def end_stall(self, connection: GatewayProtocol) -> None:
        """Note that a client has read."""
        self._stalls_by_connection.pop(connection, None)

    @callback
    def close_expired(self, now: float) -> None:
        """Close the connections of clients that take too long to send or read."""
        for connection in self._table.find_expired(self.input_limits, now):
            self.closed[CloseReason.SILENT] += 1
            self._table.leave(connection)
            connection.force_close()
        for connection, (since, unread) in list(self._stalls_by_connection.items()):
            left = connection.unread_answers()
            if left < unread:
                self._stalls_by_connection[connection] = (now, left)
            elif now - since > STALL_LIMIT:
                self.close(connection, CloseReason.UNREAD)

    @callback
    def close(self, connection: GatewayProtocol, reason: CloseReason) -> None:
        """Reset a connection, and release at once what it takes."""
        self.closed[reason] += 1
        self.remove_connection(connection)
        connection.release_heads()
        connection.reset()


def _parse_error(exc: BaseException | None) -> RequestError:
    """Return the error for a request that could not be parsed."""
    match exc:
        case LineTooLong():
            err = RequestTooLargeError("a header, the path or the head is too long")
            err.status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            return err
        case HeadsHeldError():
            return OverloadedError(
                "the heads of other requests take too much memory",
                retry_after=HEADS_HELD_RETRY_AFTER,
            )
    return MalformedRequestError("the request is not valid HTTP/1.1")
