"""HTTP exchanges with targets and other instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from http import HTTPStatus
import math
from typing import Final

from aiohttp import ClientError, StreamReader
from aiohttp.hdrs import CONTENT_LENGTH, METH_HEAD, TRANSFER_ENCODING
from aiohttp.http import (
    HttpProcessingError,
    HttpVersion10,
    HttpVersion11,
    RawResponseMessage,
    StreamWriter,
)

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_answer import MAX_SHORT_ANSWER, HttpAnswer
from swiftpin.dispatch.http_body import HttpBody
from swiftpin.dispatch.http_connection import HttpConnection
from swiftpin.dispatch.http_pool import IDLE_LIMIT, UNTAKEN_LIMIT, HttpPool
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.dispatch.late_answers import LateAnswers, LateReads
from swiftpin.exceptions import AnswerBrokenError, RequestError, RequestNotSentError
from swiftpin.helpers.address import Address, parse_address
from swiftpin.security.client_tls import ClientTls

DEFAULT_CONNECT_LIMIT: Final = 1.0
DEFAULT_CONNECTIONS: Final = 100
MAX_HEADER_SIZE: Final = 16 * 1024
MAX_HEADERS: Final = 256
READ_BUFFER: Final = 64 * 1024
BODILESS_STATUSES: Final = frozenset(
    {HTTPStatus.NO_CONTENT.value, HTTPStatus.NOT_MODIFIED.value}
)
MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
ACCEPTED_VERSIONS: Final = frozenset({HttpVersion10, HttpVersion11})
METHODS_WITHOUT_BODY: Final = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})

SendGate = Callable[[float], None]
"""Called with the time right before a request is written; raises to hold it back."""

AnswerCheck = Callable[[Mapping[str, str]], bool]
"""Called with an answer's headers; tells whether it answers the request sent."""

MAX_STRAY_ANSWERS: Final = 3
"""Answers to earlier requests that are passed over before a connection is given up."""


class HttpClient:
    """Pools of connections by address, and exchanges over them.

    Nothing is ever sent a second time here: that is for callers to decide, who know
    whether a request may repeat. With `tls` every connection is secured. With
    `accepts_unframed` an answer may state no length and end with its connection.
    `idle_limit` is how long a connection may lie idle, in seconds, where the server
    does not state it; what was written may stay unacknowledged for `untaken_limit`
    seconds.
    """

    def __init__(
        self,
        *,
        connect_limit: float = DEFAULT_CONNECT_LIMIT,
        tls: ClientTls | None = None,
        accepts_unframed: bool = False,
        idle_limit: float = IDLE_LIMIT,
        untaken_limit: float = UNTAKEN_LIMIT,
    ) -> None:
        self._connect_limit = connect_limit
        self._tls = tls
        self._accepts_unframed = accepts_unframed
        self._idle_limit = idle_limit
        self._untaken_limit = untaken_limit
        self._pools_by_address: dict[str, HttpPool] = {}
        self._late_reads = LateReads()

    async def async_exchange(
        self,
        address: str,
        request: HttpRequest,
        state: HttpSendState,
        gate: SendGate,
        *,
        connections: int = DEFAULT_CONNECTIONS,
        check: AnswerCheck | None = None,
        max_idle: float = math.inf,
        may_connect: bool = True,
        late: LateAnswers | None = None,
    ) -> HttpAnswer:
        """Send the request and return the head of its answer.

        Only a connection that was used within `max_idle` seconds is used again, and
        without `may_connect` none is opened. An answer that `check` does not accept
        belongs to an earlier request on the connection and is passed over.

        Raises `RequestNotSentError` when no byte was written, `AnswerBrokenError`
        when the answer's head did not come, and whatever `gate` or the request's
        body raise. A cancelled exchange closes its connection, with `late` once the
        answer to a request that was written has come or is not awaited any more.
        """
        connection = await self.async_connection(
            address,
            connections=connections,
            max_idle=max_idle,
            may_connect=may_connect,
        )
        return await self.async_exchange_over(
            connection, request, state, gate, check=check, late=late
        )

    async def async_connection(
        self,
        address: str,
        *,
        connections: int = DEFAULT_CONNECTIONS,
        max_idle: float = math.inf,
        preferred: int | None = None,
        avoided: int | None = None,
        may_connect: bool = True,
    ) -> HttpConnection:
        """Return an open connection for one exchange, for whoever must know which.

        The caller makes an exchange over it or aborts it. The connection whose number
        is `preferred` is taken if it is open and idle, the one whose number is
        `avoided` is not. Raises `RequestNotSentError`.
        """
        pool = self._pool(address, connections)
        connection = pool.take_idle(
            monotonic_now(), max_idle, preferred=preferred, avoided=avoided
        )
        if connection is None and not may_connect:
            raise RequestNotSentError(f"no open connection to {address}")
        if connection is None:
            connection = await pool.async_connect()
        return connection

    async def async_open_idle(
        self, address: str, *, connections: int, limit: float
    ) -> None:
        """Open a connection for later requests within `limit` seconds.

        Raises `RequestNotSentError` or `TimeoutError`.
        """
        async with asyncio.timeout(limit):
            connection = await self._pool(address, connections).async_connect()
        connection.release(monotonic_now())

    async def async_exchange_over(
        self,
        connection: HttpConnection,
        request: HttpRequest,
        state: HttpSendState,
        gate: SendGate,
        *,
        check: AnswerCheck | None = None,
        late: LateAnswers | None = None,
    ) -> HttpAnswer:
        """Send the request over one connection; else as `async_exchange`."""
        try:
            _prepare(connection, request, accepts_unframed=self._accepts_unframed)
            if request.body.whole is None:
                return await _async_stream(connection, request, state, gate, check)
            return await _async_send_whole(connection, request, state, gate, check)
        except asyncio.CancelledError:
            if late is None or not state.written:
                connection.abort()
            else:
                read = partial(_async_read_head, connection, request, None, check)
                self._late_reads.start(connection, late, read)
            raise
        except BaseException:
            connection.abort()
            raise

    @callback
    def close_idle(self, now: float) -> None:
        """Close idle connections, and forget addresses that have none left."""
        for address, pool in list(self._pools_by_address.items()):
            pool.close_idle(now)
            if not pool.open_count:
                del self._pools_by_address[address]

    @callback
    def unload(self) -> None:
        """Close every connection."""
        self._late_reads.unload()
        for pool in self._pools_by_address.values():
            pool.unload()
        self._pools_by_address.clear()

    @callback
    def _pool(self, address: str, connections: int) -> HttpPool:
        """Return the pool of the address."""
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = HttpPool(
                _parse(address),
                limit=connections,
                connect_limit=self._connect_limit,
                tls=self._tls,
                idle_limit=self._idle_limit,
                untaken_limit=self._untaken_limit,
            )
            self._pools_by_address[address] = pool
        pool.limit = connections
        return pool


def _parse(address: str) -> Address:
    """Return the parsed address."""
    try:
        return parse_address(address)
    except ValueError as err:
        raise RequestNotSentError(str(err)) from err


@callback
def _prepare(
    connection: HttpConnection, request: HttpRequest, *, accepts_unframed: bool
) -> None:
    """Make the connection ready to parse the answer."""
    connection.accepts_unframed = accepts_unframed
    connection.protocol.begin_head()
    connection.protocol.set_response_params(
        skip_payload=request.method == METH_HEAD,
        read_until_eof=accepts_unframed,
        auto_decompress=False,
        read_bufsize=READ_BUFFER,
        max_line_size=MAX_HEADER_SIZE,
        max_field_size=MAX_HEADER_SIZE,
        max_headers=MAX_HEADERS,
    )


@callback
def _open_gate(
    connection: HttpConnection, state: HttpSendState, gate: SendGate
) -> None:
    """Let the request go, unless it may not be sent or the connection is gone.

    No await stands between these checks and the write, so nothing that they found
    can change in between.
    """
    if not connection.protocol.is_connected():
        raise RequestNotSentError("the connection was closed before use")
    state.connected_at = connection.opened_at
    gate(monotonic_now())
    state.written = True


async def _async_send_whole(
    connection: HttpConnection,
    request: HttpRequest,
    state: HttpSendState,
    gate: SendGate,
    check: AnswerCheck | None,
) -> HttpAnswer:
    """Write head and body in one piece and read the answer's head."""
    body = request.body.whole
    assert body is not None
    if body or request.method not in METHODS_WITHOUT_BODY:
        request.headers[CONTENT_LENGTH] = str(len(body))
    writer = StreamWriter(connection.protocol, connection.loop)
    await writer.write_headers(_request_line(request), request.headers)
    _open_gate(connection, state, gate)
    try:
        await writer.write_eof(body)
    except (ClientError, OSError) as err:
        raise AnswerBrokenError(f"the request broke off: {err!r}") from err
    return await _async_read_head(connection, request, None, check)


async def _async_stream(
    connection: HttpConnection,
    request: HttpRequest,
    state: HttpSendState,
    gate: SendGate,
    check: AnswerCheck | None,
) -> HttpAnswer:
    """Write the body piece by piece while the answer's head is awaited."""
    writer = StreamWriter(connection.protocol, connection.loop)
    if request.body.length is None:
        request.headers[TRANSFER_ENCODING] = "chunked"
        writer.enable_chunking()
    else:
        request.headers[CONTENT_LENGTH] = str(request.body.length)
    await writer.write_headers(_request_line(request), request.headers)
    _open_gate(connection, state, gate)
    writer.send_headers()
    upload = connection.loop.create_task(
        _async_upload(connection, writer, request.body)
    )
    try:
        return await _async_read_head(connection, request, upload, check)
    except AnswerBrokenError:
        _raise_upload_error(upload)
        raise
    except BaseException:
        upload.cancel()
        raise


async def _async_upload(
    connection: HttpConnection, writer: StreamWriter, body: HttpBody
) -> None:
    """Copy the body; close the connection when the body breaks off.

    Without the close the server would wait for the rest, and might take the next
    request's bytes for it.
    """
    try:
        async for chunk in body.chunks():
            await writer.write(chunk)
        await writer.write_eof()
    except (ClientError, OSError):
        # The server closed its side. Its answer, if any, tells why.
        return
    except RequestError:
        connection.abort()
        raise


@callback
def _raise_upload_error(upload: asyncio.Task[None]) -> None:
    """Raise the error that ended the upload, if one did."""
    if not upload.done():
        upload.cancel()
        return
    if not upload.cancelled() and (err := upload.exception()) is not None:
        raise err


async def _async_read_head(
    connection: HttpConnection,
    request: HttpRequest,
    upload: asyncio.Task[None] | None,
    check: AnswerCheck | None,
) -> HttpAnswer:
    """Wait for the answer's head, passing over interim and stray ones."""
    strays = 0
    try:
        message, content = await connection.protocol.read()
        while True:
            _check_status_line(message)
            if message.code == HTTPStatus.SWITCHING_PROTOCOLS:
                raise AnswerBrokenError("the server changed the protocol unasked")
            if message.code >= HTTPStatus.OK:
                if check is None or check(message.headers):
                    break
                strays += 1
                if strays > MAX_STRAY_ANSWERS:
                    raise AnswerBrokenError("only answers to other requests came")
                await _async_skip(content)
                connection.protocol.begin_head()
            message, content = await connection.protocol.read()
    except (ClientError, OSError) as err:
        raise AnswerBrokenError(f"no answer: {err!r}") from err
    except HttpProcessingError as err:
        raise AnswerBrokenError(f"the answer is not HTTP: {err!r}") from err
    length = _length(message, connection, request)
    return HttpAnswer(message, content, connection, length=length, upload=upload)


@callback
def _check_status_line(message: RawResponseMessage) -> None:
    """Raise `AnswerBrokenError` unless an answer has a status and a version of HTTP/1.

    The parser accepts any three digits. Those below 200 would pass for the head of an
    interim answer, and the final one would be awaited until the deadline.
    """
    if not MIN_STATUS <= message.code <= MAX_STATUS:
        raise AnswerBrokenError(f"{message.code:03} is no status of HTTP")
    if message.version not in ACCEPTED_VERSIONS:
        version = f"{message.version.major}.{message.version.minor}"
        raise AnswerBrokenError(f"the answer's version is HTTP/{version}")


async def _async_skip(content: StreamReader) -> None:
    """Read the body of a stray answer, which must be short."""
    length = 0
    while chunk := await content.readany():
        length += len(chunk)
        if length > MAX_SHORT_ANSWER:
            raise AnswerBrokenError("a long answer to another request came")


@callback
def _length(
    message: RawResponseMessage, connection: HttpConnection, request: HttpRequest
) -> int | None:
    """Return the length of the answer's body, None when it is not stated.

    An answer with neither a length nor chunks ends where the connection ends. A server
    that dies while it writes such an answer looks like one that finished, so it can't
    be told whole from cut short and is refused, unless the client accepts it.
    """
    if request.method == METH_HEAD or message.code in BODILESS_STATUSES:
        return 0
    if message.chunked:
        return None
    length = message.headers.get(CONTENT_LENGTH)
    if length is None and connection.accepts_unframed:
        return None
    if length is None:
        raise AnswerBrokenError("the answer states neither its length nor chunks")
    return int(length)


@callback
def _request_line(request: HttpRequest) -> str:
    """Return the first line of the request."""
    return f"{request.method} {request.path} HTTP/1.1"
