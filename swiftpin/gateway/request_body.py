"""The body of a caller's request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from aiohttp.hdrs import EXPECT
from aiohttp.web import BaseRequest, RequestPayloadError

from swiftpin.exceptions import (
    BodyCutShortError,
    OutcomeUnknownError,
    RequestTooLargeError,
)

WHOLE_LIMIT: Final = 64 * 1024
"""Bodies up to this many bytes are held in memory, so that they can be sent again."""

STALL_LIMIT: Final = 10.0
"""Seconds that a caller may let pass between two pieces of a body."""

CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestBody:
    """A body that is held when it is small and streamed when it is large.

    `limit` is in bytes. A body that was cut short before it was sent on was
    certainly not run.
    """

    def __init__(self, request: BaseRequest, limit: int) -> None:
        self._request = request
        self._limit = limit
        self._read = 0
        self._streaming = False
        # One object for each piece would take many times its length.
        self._head = bytearray()
        self.whole: bytes | None = None
        self.length: int | None = request.content_length

    async def async_prefetch(self) -> None:
        """Read the body's beginning; `whole` is set when that was all of it."""
        content = self._request.content
        if self.length is not None and self.length > self._limit:
            raise RequestTooLargeError(f"the body is above {self._limit} bytes")
        if content.at_eof():
            self.whole = b""
            return
        await self._async_continue()
        while self._read <= WHOLE_LIMIT:
            chunk = await self._async_read()
            if not chunk:
                self.whole = bytes(self._head)
                self._head.clear()
                return
            self._head += chunk

    @property
    def known_length(self) -> int | None:
        """Return the length in bytes as far as it is known."""
        return self.length if self.whole is None else len(self.whole)

    @property
    def can_be_sent(self) -> bool:
        """Return whether the body, or all of a streamed one, is still to be had."""
        return self.whole is not None or not self._streaming

    @property
    def head(self) -> bytes:
        """Return the body's first `WHOLE_LIMIT` bytes, as long as it is not sent.

        How much has been read of a longer body depends on how it came in, and a
        resend of the same body must have the same beginning.
        """
        if self.whole is not None:
            return self.whole
        return bytes(self._head[:WHOLE_LIMIT])

    async def chunks(self) -> AsyncIterator[bytes]:
        """Give the pieces of a body that is not held whole, once.

        Raises `OutcomeUnknownError` when the body breaks off, since a part of it
        has been sent by then.
        """
        self._streaming = True
        head = bytes(self._head)
        self._head.clear()
        yield head
        try:
            while chunk := await self._async_read():
                yield chunk
        except (BodyCutShortError, RequestTooLargeError) as err:
            raise OutcomeUnknownError(f"while it was sent on, {err.hint}") from err

    async def _async_continue(self) -> None:
        """Ask for the body of a caller that waits to be asked."""
        if EXPECT in self._request.headers:
            await self._request.writer.write(CONTINUE)

    async def _async_read(self) -> bytes:
        """Return the next piece, empty at the end."""
        content = self._request.content
        try:
            if content.is_eof():
                chunk = content.read_nowait()
            else:
                async with asyncio.timeout(STALL_LIMIT):
                    chunk = await content.readany()
        except (RequestPayloadError, ConnectionError) as err:
            raise BodyCutShortError("the body ended early") from err
        except TimeoutError as err:
            # A caller that feeds a byte now and then would hold a place for ever.
            raise BodyCutShortError("the body came too slowly") from err
        self._read += len(chunk)
        if self._read > self._limit:
            raise RequestTooLargeError(f"the body is above {self._limit} bytes")
        return chunk
