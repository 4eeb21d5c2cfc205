"""Writing of answers to callers."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

from aiohttp.hdrs import (
    CONNECTION,
    CONTENT_LENGTH,
    CONTENT_TYPE,
    METH_HEAD,
    RETRY_AFTER,
    TRANSFER_ENCODING,
)
from aiohttp.web import BaseRequest, StreamResponse
from multidict import CIMultiDict

from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.exceptions import (
    AnswerBrokenError,
    AnswerCutShortError,
    CallerLeftError,
    RequestError,
)
from swiftpin.gateway.error_answer import CONTENT_TYPE_JSON, error_body
from swiftpin.gateway.sent_response import CLOSED, KEPT
from swiftpin.helpers.connection_reset import reset_connection
from swiftpin.platform.request_head import encode_answer_headers, own_answer_headers
from swiftpin.router.delivery import Delivery

STATUSES_WITHOUT_BODY: Final = frozenset(
    {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}
)

MAX_RELAYED_ANSWER: Final = 256 * 1024 * 1024
"""Maximum length in bytes of an answer that is relayed."""

MAX_LATE_DELIVERY: Final = 10.0
"""Seconds after the caller's deadline for which an answer that has started is relayed.
A target that is still sending then may never end."""

MAX_BUFFERED_ANSWER: Final = 256 * 1024
"""Bytes of an answer that are buffered before any of it is sent to the caller, so that
the request can still be retried if the target breaks the answer off. Links transfer
this much in 2 ms, and an instance serves few callers at a time."""


class CallerAnswer:
    """Writes one answer to the caller.

    Afterwards `response` tells whether the connection is kept open.
    """

    def __init__(self, request: BaseRequest, request_id: str) -> None:
        self.is_started = False
        self.response: StreamResponse = CLOSED
        self.closes_connection = False
        """Whether the connection is closed after this answer."""

        self._request = request
        self._request_id = request_id

    def set_request_id(self, request_id: str) -> None:
        """Set the request id for answers created by this instance."""
        self._request_id = request_id

    async def async_relay(
        self,
        answer: HttpAnswer,
        first_chunks: list[bytes],
        own_headers: Mapping[str, str] | None = None,
        delivery: Delivery | None = None,
    ) -> None:
        """Relay a target's answer; `first_chunks` is the part of its body read so far.

        `own_headers` are added to those of the target. `delivery` bounds what is
        buffered for the caller and is told of what was written.

        Raises `AnswerCutShortError` after resetting the caller's connection if the
        target breaks its answer off.
        """
        headers = encode_answer_headers(answer.headers.items())
        headers.update(own_headers or {})
        writer = self._request.writer
        is_complete = answer.is_read
        if is_complete and delivery is None:
            body = b"".join(first_chunks)
            await self._async_write(answer.status, headers, body)
            return
        if is_complete:
            headers[CONTENT_LENGTH] = str(sum(map(len, first_chunks)))
        elif answer.length is not None:
            headers[CONTENT_LENGTH] = str(answer.length)
        else:
            headers[TRANSFER_ENCODING] = "chunked"
            writer.enable_chunking()
        try:
            await writer.write_headers(
                self._finish_headers(answer.status, headers), headers
            )
            self.is_started = True
            if delivery is not None:
                await delivery.async_relay(writer, answer, first_chunks)
                return
            for chunk in first_chunks:
                await writer.write(chunk)
            first_chunks.clear()
            while chunk := await answer.async_read_chunk():
                await writer.write(chunk)
            await writer.write_eof()
        except AnswerBrokenError as err:
            self.abort_connection()
            raise AnswerCutShortError("the target broke its answer off") from err
        except ConnectionError as err:
            raise CallerLeftError("the caller closed its connection") from err

    async def async_error(self, err: RequestError) -> None:
        """Write the answer to a request that failed at this instance."""
        if not self._request.content.is_eof():
            # The rest of the request body would be parsed as the next request.
            self.closes_connection = True
        headers = own_answer_headers(self._request_id)
        headers[CONTENT_TYPE] = CONTENT_TYPE_JSON
        if err.retry_after is not None:
            headers[RETRY_AFTER] = f"{err.retry_after:.3f}"
        await self._async_write(err.status, headers, error_body(err))

    async def async_own(self, status: int, headers: Mapping[str, str]) -> None:
        """Write an answer of this instance without a body."""
        if not self._request.content.is_eof():
            # The rest of the request body would be parsed as the next request.
            self.closes_connection = True
        await self._async_write(status, CIMultiDict(headers), b"")

    def abort_connection(self) -> None:
        """Reset the connection, so that a partial answer can't look complete."""
        transport = self._request.transport
        if not self.is_started or transport is None:
            return
        reset_connection(transport)

    async def _async_write(
        self, status: int, headers: CIMultiDict[str], body: bytes
    ) -> None:
        """Write an answer whose complete body is in memory."""
        if status not in STATUSES_WITHOUT_BODY and self._request.method != METH_HEAD:
            headers[CONTENT_LENGTH] = str(len(body))
        writer = self._request.writer
        try:
            await writer.write_headers(self._finish_headers(status, headers), headers)
            self.is_started = True
            await writer.write_eof(body)
        except ConnectionError as err:
            raise CallerLeftError("the caller closed its connection") from err

    def _finish_headers(self, status: int, headers: CIMultiDict[str]) -> str:
        """Set the `Connection` header if needed and return the status line."""
        if self.closes_connection or not self._request.keep_alive:
            headers[CONNECTION] = "close"
            self.response = CLOSED
        else:
            self.response = KEPT
        try:
            phrase = HTTPStatus(status).phrase
        except ValueError:
            phrase = ""
        return f"HTTP/1.1 {status} {phrase}"
