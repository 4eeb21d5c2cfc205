"""The answer of a target or another instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
import math
import re
from typing import Final

from aiohttp import ClientError, StreamReader
from aiohttp.hdrs import KEEP_ALIVE
from aiohttp.http import RawResponseMessage
from multidict import CIMultiDictProxy

from swiftpin.core import callback
from swiftpin.dispatch.http_connection import HttpConnection
from swiftpin.exceptions import AnswerBrokenError, AnswerTooLongError

KEEP_ALIVE_TIMEOUT: Final = re.compile(r"timeout\s*=\s*(\d+)")
IDLE_MARGIN: Final = 1.0
"""Seconds before the server's own limit at which an idle connection is given up: a
request that crosses the server's close is lost."""

LONG_BODY: Final = 16 * 1024
"""Bytes of a body above which its way over a thin link takes time of its own."""

ARRIVAL_PAUSE: Final = 1.0
"""Seconds between two pieces of a long body after which it counts as broken off."""

MAX_SHORT_ANSWER: Final = 64 * 1024
"""Maximum length in bytes of an answer to a call of an instance itself."""


class HttpAnswer:
    """Head of an answer, and its body as it arrives.

    Whoever gets one calls `finish` in the end: it gives the connection back after a
    whole answer and closes it otherwise, so that the rest of an answer that was given
    up can never be taken for the answer to the next request. `on_chunk` is called with
    each piece of the body that is read.
    """

    __slots__ = (
        "_connection",
        "_content",
        "_max_length",
        "_read_length",
        "_read_until",
        "_upload",
        "headers",
        "length",
        "on_chunk",
        "status",
    )

    def __init__(
        self,
        message: RawResponseMessage,
        content: StreamReader,
        connection: HttpConnection,
        *,
        length: int | None,
        upload: asyncio.Task[None] | None,
    ) -> None:
        self.status: int = message.code
        self.headers: CIMultiDictProxy[str] = message.headers
        self.length = length
        self.on_chunk: Callable[[bytes], None] | None = None
        self._content = content
        self._connection = connection
        self._upload = upload
        self._max_length = math.inf
        self._read_length = 0
        self._read_until: float | None = None

    @property
    def is_received(self) -> bool:
        """Return whether the whole body has arrived."""
        return self._content.is_eof()

    @property
    def is_read(self) -> bool:
        """Return whether the whole body was read."""
        return self._content.at_eof()

    @callback
    def limit_body(self, max_length: float, until: float | None = None) -> None:
        """Bound the body in bytes, and in time by the event loop's clock.

        A faulty server may send without end, and a stated length may be wrong.
        """
        self._max_length = max_length
        self._read_until = until

    async def async_read_chunk(self) -> bytes:
        """Return the next piece of the body, empty at its end.

        Raises `AnswerBrokenError` when the body ends before it is whole, or exceeds its
        limits.
        """
        if self.length is not None and self.length > self._max_length:
            raise AnswerTooLongError(f"the answer has {self.length} bytes")
        try:
            async with asyncio.timeout_at(self._read_until):
                chunk = await self._content.readany()
        except TimeoutError as err:
            raise AnswerBrokenError("the answer did not end in time") from err
        except (ClientError, OSError) as err:
            raise AnswerBrokenError(f"the answer broke off: {err!r}") from err
        self._read_length += len(chunk)
        if self._read_length > self._max_length:
            raise AnswerTooLongError(f"more than {self._max_length} bytes came")
        if self.on_chunk is not None:
            self.on_chunk(chunk)
        return chunk

    async def async_read_whole(self) -> bytes:
        """Return the rest of the body in one piece."""
        chunk = await self.async_read_chunk()
        if self._content.at_eof():
            return chunk
        chunks = []
        while chunk:
            chunks.append(chunk)
            chunk = await self.async_read_chunk()
        return b"".join(chunks)

    @property
    def connected_at(self) -> float:
        """Return the suspend-aware time at which its connection was opened."""
        return self._connection.opened_at

    @callback
    def extend_while_arriving(self, timeout: asyncio.Timeout) -> None:
        """Extend the read timeout whenever a chunk arrives.

        Given up and asked for again it would never arrive over a link that needs longer
        than the limit.
        """
        if self.length is None or self.length > LONG_BODY:
            self.on_chunk = partial(self._extend, timeout)

    @callback
    def _extend(self, timeout: asyncio.Timeout, chunk: bytes) -> None:
        """Let a time limit hold until the next piece of a long body is due."""
        if self.length is None and self._read_length <= LONG_BODY:
            return
        due_at = asyncio.get_running_loop().time() + ARRIVAL_PAUSE
        ends_at = timeout.when()
        if chunk and ends_at is not None and ends_at < due_at:
            timeout.reschedule(due_at)

    async def async_read_rest(self) -> None:
        """Read what is left of the body and forget it."""
        while await self.async_read_chunk():
            pass

    @callback
    def finish(self, now: float) -> None:
        """Give the connection back, or close it when the exchange is not complete."""
        upload = self._upload
        uploading = upload is not None and not upload.done()
        if uploading or not self._content.is_eof():
            self.abort()
            return
        self._connection.idle_limit = _idle_limit(self.headers.get(KEEP_ALIVE))
        self._connection.release(now)

    @callback
    def abort(self) -> None:
        """Close the connection, whatever the answer still holds."""
        if self._upload is not None:
            self._upload.cancel()
        self._connection.abort()


@callback
def _idle_limit(text: str | None) -> float:
    """Return the seconds for which a server keeps an idle connection, less a margin."""
    found = KEEP_ALIVE_TIMEOUT.search(text or "")
    return max(float(found[1]) - IDLE_MARGIN, 0.0) if found else math.inf
