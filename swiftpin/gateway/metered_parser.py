"""Parser of requests that stops reading a client which exceeds its limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web import RequestPayloadError

from swiftpin.core import callback
from swiftpin.gateway.input_limits import MAX_HEAD_BYTES, InputLimits
from swiftpin.gateway.input_meter import HEADER_LINE_COST, InputMeter

MAX_QUEUED_REQUESTS: Final = 2
"""Requests that are parsed before the one that came before them is answered."""

READ_BUFFER: Final = 64 * 1024
"""Bytes of a body that are buffered before no more are read."""

ORDINARY_HEAD: Final = 8 * 1024
"""Bytes of memory of a head that are counted with its request, not as held by it."""

Message = tuple[RawRequestMessage, StreamReader]
Parsed = tuple[Sequence[Message], bool, bytes]

NOTHING: Final[Parsed] = ((), False, b"")


class HeadsHeldError(HttpProcessingError):
    """The heads of all connections together take too much memory."""


class MeteredParser:
    """Wraps the library's parser, with the interface that its protocol expects.

    The library's parser raises an error for each piece of data that follows an invalid
    one, and its protocol queues each error as a request.
    """

    def __init__(
        self,
        protocol: BaseProtocol,
        loop: asyncio.AbstractEventLoop,
        *,
        limits: Callable[[], InputLimits],
        hold: Callable[[int], bool],
        max_line: int,
        max_headers: int,
    ) -> None:
        """Create a parser.

        `hold` is called with the change of the memory that heads take, and returns
        whether there is room for it.
        """
        self._is_last_request = False
        self._limits = limits
        self._hold = hold
        self._meter = InputMeter()
        self._incomplete_cost = 0
        self._complete_costs: list[int] = []
        """Costs of the heads of requests that are not answered, the oldest first."""

        self._body: StreamReader | None = None
        self._parser: HttpRequestParser | None = HttpRequestParser(
            protocol,
            loop,
            READ_BUFFER,
            max_line_size=max_line,
            max_field_size=max_line,
            max_headers=max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )

    @property
    def has_ended(self) -> bool:
        """Return whether nothing more is parsed."""
        return self._parser is None

    @property
    def has_partial_head(self) -> bool:
        """Return whether a head has begun that isn't complete."""
        return self._meter.head_length > 0

    @callback
    def feed_data(self, data: bytes) -> Parsed:
        """Parse some bytes; raise `HttpProcessingError` once if they are not accepted.

        The data of a body that is being read then ends with an error.
        """
        parser = self._parser
        if parser is None:
            return NOTHING
        try:
            messages = self._end_at_switch(parser.feed_data(data)[0])
            self._measure(data, messages)
        except HttpProcessingError as err:
            self._fail()
            # A traceback would keep the data that was parsed alive.
            raise err.with_traceback(None) from None
        if self._is_last_request and self._body is None:
            self._parser = None
        return messages, False, b""

    @callback
    def message_consumed(self) -> None:
        """Note that a request was taken from the queue."""
        if self._parser is not None:
            self._parser.message_consumed()

    @callback
    def pause_reading(self) -> None:
        """Pause because enough of the body is buffered."""
        if self._parser is not None:
            self._parser.pause_reading()

    @callback
    def set_upgraded(self, value: object) -> None:
        """Ignore a switch of protocols, which is never made."""

    @callback
    def end_request(self) -> None:
        """Release the head of a request that was answered."""
        if self._complete_costs:
            self._hold(-self._complete_costs.pop(0))

    @callback
    def close(self) -> None:
        """Parse nothing more and release all heads."""
        self._parser = None
        self._body = None
        self._hold(-self._incomplete_cost - sum(self._complete_costs))
        self._incomplete_cost = 0
        self._complete_costs.clear()

    @callback
    def _end_at_switch(self, messages: Sequence[Message]) -> Sequence[Message]:
        """Close the connection after a request to switch to another protocol.

        It is served as any other, but the library drops what follows it.
        """
        for index, (message, body) in enumerate(messages):
            if message.upgrade:
                self._is_last_request = True
                last = message._replace(should_close=True)
                return [*messages[:index], (last, body)]
        return messages

    @callback
    def _measure(self, data: bytes, messages: Sequence[Message]) -> None:
        """Count what arrived; raise `HttpProcessingError` if it is too much."""
        meter = self._meter
        if messages:
            meter.end_head()
            self._set_incomplete_cost(0)
            self._hold_complete(messages)
            body = messages[-1][1]
            self._body = None if body.is_eof() else body
            return
        limit = min(self._limits().head_bytes, MAX_HEAD_BYTES)
        if self._body is None:
            meter.add_head(data)
            if meter.head_length > limit:
                raise LineTooLong(b"head", limit)
            self._set_incomplete_cost(max(meter.head_cost - ORDINARY_HEAD, 0))
        elif meter.is_body_excessive(len(data), self._body.total_bytes, limit):
            raise HttpProcessingError(message="the body has too little data")
        elif self._body.is_eof():
            self._body = None

    @callback
    def _set_incomplete_cost(self, cost: int) -> None:
        """Hold memory for the head that is incomplete."""
        change = cost - self._incomplete_cost
        if not change:
            return
        # Making room may close this very connection, which releases what is noted.
        self._incomplete_cost = cost
        if not self._hold(change):
            self._incomplete_cost -= change
            raise HeadsHeldError(message="too many heads")

    @callback
    def _hold_complete(self, messages: Sequence[Message]) -> None:
        """Hold memory for the heads that are complete until they are answered."""
        for message, _ in messages:
            cost = max(head_cost(message) - ORDINARY_HEAD, 0)
            if cost and not self._hold(cost):
                raise HeadsHeldError(message="too many heads")
            self._complete_costs.append(cost)

    @callback
    def _fail(self) -> None:
        """Parse nothing more, and end a body that is being read."""
        self._parser = None
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(RequestPayloadError("the body is malformed"))
        self._body = None


@callback
def head_cost(message: RawRequestMessage) -> int:
    """Return about how many bytes of memory a request's head takes."""
    headers = message.raw_headers
    text = sum(len(name) + len(value) for name, value in headers)
    return len(message.path) + text + len(headers) * HEADER_LINE_COST
