"""Writing of answers to callers."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from aiohttp.abc import AbstractStreamWriter
from aiohttp.hdrs import (
    CONNECTION,
    CONTENT_LENGTH,
    METH_HEAD,
    TRANSFER_ENCODING,
)
from aiohttp.http import HttpVersion11
from aiohttp.web import BaseRequest, StreamResponse
from multidict import CIMultiDict

from swiftpin.const import HEADER_REQUEST_ID, HEADER_RESULT
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.exceptions import (
    AnswerBrokenError,
    AnswerCutShortError,
    CallerLeftError,
    RequestError,
)
from swiftpin.gateway.error_answer import error_body, error_headers
from swiftpin.gateway.header_rules import answer_headers
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.gateway.request_record import RequestRecord
from swiftpin.gateway.sent_response import CLOSED, KEPT
from swiftpin.helpers.connection_reset import reset_connection
from swiftpin.result import Executed, ResultCode, executed_by_result

WHOLE_ANSWER_LIMIT: Final = 64 * 1024
"""Answers up to this many bytes are awaited whole, then written in one piece."""

BODILESS_STATUSES: Final = frozenset(
    {HTTPStatus.NO_CONTENT.value, HTTPStatus.NOT_MODIFIED.value}
)
STATUS_LINES_BY_CODE: Final = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}" for status in HTTPStatus
}


class AnswerWriter:
    """Writes one answer to the caller, then tells whether the connection goes on.

    `begun` is True once any byte of the answer was written; from then on an answer
    that fails can only be cut short.
    """

    __slots__ = (
        "_lifecycle",
        "_may_keep_alive",
        "_record",
        "_request",
        "begun",
        "response",
    )

    def __init__(
        self, request: BaseRequest, record: RequestRecord, lifecycle: Lifecycle
    ) -> None:
        self._request = request
        self._record = record
        self._lifecycle = lifecycle
        self._may_keep_alive = True
        self.begun = False
        self.response: StreamResponse = CLOSED

    async def async_write_answer(self, answer: HttpAnswer, result: int) -> None:
        """Pass on a target's answer.

        Raises `AnswerCutShortError` when the target broke it off and
        `CallerLeftError` when the caller is gone. After `begun` the caller's
        connection has then been cut, so that the part can't pass for the whole.
        """
        headers = answer_headers(answer.headers)
        headers[HEADER_RESULT] = str(result)
        self._note(answer.status, result, executed_by_result(result))
        try:
            if answer.length is not None and answer.length <= WHOLE_ANSWER_LIMIT:
                await self._async_write_small(answer, headers)
            else:
                await self._async_stream(answer, headers)
        except AnswerBrokenError as err:
            self.cut()
            raise AnswerCutShortError("the target broke its answer off") from err

    async def async_write_whole(
        self, status: int, headers: CIMultiDict[str], result: ResultCode, body: bytes
    ) -> None:
        """Write an answer that is in memory."""
        headers[HEADER_RESULT] = str(result.value)
        self._note(status, result.value, executed_by_result(result.value))
        await self._async_write(status, headers, body)

    async def async_write_error(self, err: RequestError) -> None:
        """Write the answer to a request that failed.

        A body that was not read ends the connection: the caller may not send the rest
        of it, and its next request would then be read as that rest.
        """
        if not self._request.content.is_eof():
            self._may_keep_alive = False
        headers = error_headers(err)
        headers[HEADER_RESULT] = str(err.code.value)
        self._note(err.status, err.code.value, err.executed)
        await self._async_write(err.status, headers, error_body(err))

    def cut(self) -> None:
        """Break the caller's connection off, if the answer has begun.

        A plain close would end an answer without a length as if it were whole; after
        a reset the caller's library reports an error.
        """
        transport = self._request.transport
        if not self.begun or transport is None:
            return
        reset_connection(transport)

    def _note(self, status: int, result: int, executed: Executed) -> None:
        """Record what the caller is told."""
        self._record.status = status
        self._record.result = result
        self._record.executed = executed

    async def _async_write_small(
        self, answer: HttpAnswer, headers: CIMultiDict[str]
    ) -> None:
        """Write an answer in one piece."""
        body = await answer.async_read_whole()
        if self._request.method == METH_HEAD:
            _copy_length(answer, headers)
        await self._async_write(answer.status, headers, body)

    async def _async_write(
        self, status: int, headers: CIMultiDict[str], body: bytes
    ) -> None:
        """Write head and body."""
        if status not in BODILESS_STATUSES and CONTENT_LENGTH not in headers:
            headers[CONTENT_LENGTH] = str(len(body))
        if self._request.method == METH_HEAD:
            body = b""
        writer = self._request.writer
        status_line = self._finish_head(status, headers)
        try:
            await writer.write_headers(status_line, headers)
            self.begun = True
            await writer.write_eof(body)
        except ConnectionError as err:
            raise CallerLeftError("the caller closed its connection") from err

    async def _async_stream(
        self, answer: HttpAnswer, headers: CIMultiDict[str]
    ) -> None:
        """Copy an answer as it arrives."""
        writer = self._request.writer
        chunk = await answer.async_read_chunk()
        self._frame(answer, headers, writer)
        status_line = self._finish_head(answer.status, headers)
        try:
            await writer.write_headers(status_line, headers)
            self.begun = True
            while chunk:
                await writer.write(chunk)
                chunk = await answer.async_read_chunk()
            await writer.write_eof()
        except ConnectionError as err:
            raise CallerLeftError("the caller closed its connection") from err

    def _frame(
        self,
        answer: HttpAnswer,
        headers: CIMultiDict[str],
        writer: AbstractStreamWriter,
    ) -> None:
        """Set how the caller learns where a streamed body ends."""
        if answer.length is not None:
            headers[CONTENT_LENGTH] = str(answer.length)
        elif self._request.version >= HttpVersion11:
            headers[TRANSFER_ENCODING] = "chunked"
            writer.enable_chunking()

    def _finish_head(self, status: int, headers: CIMultiDict[str]) -> str:
        """Set the last headers and return the status line."""
        headers[HEADER_REQUEST_ID] = self._record.request_id
        may_keep_alive = self._may_keep_alive and not self._lifecycle.leaving
        keep_alive = may_keep_alive and self._request.keep_alive
        framed = CONTENT_LENGTH in headers or TRANSFER_ENCODING in headers
        if not framed and status not in BODILESS_STATUSES:
            keep_alive = False
        self.response = KEPT if keep_alive else CLOSED
        if not keep_alive:
            headers[CONNECTION] = "close"
        elif self._request.version < HttpVersion11:
            headers[CONNECTION] = "keep-alive"
        return STATUS_LINES_BY_CODE.get(status) or f"HTTP/1.1 {status} "


def _copy_length(answer: HttpAnswer, headers: CIMultiDict[str]) -> None:
    """Keep the length that the answer to a GET would have."""
    length = answer.headers.get(CONTENT_LENGTH)
    if length is not None:
        headers[CONTENT_LENGTH] = length
