"""A response that has been written already."""

from __future__ import annotations

from typing import Final

from aiohttp.abc import AbstractStreamWriter
from aiohttp.web import BaseRequest, StreamResponse


class SentResponse(StreamResponse):
    """Tells aiohttp's connection loop that nothing is left to write.

    The answers are written through the request's writer: `StreamResponse` would add
    headers of its own and costs a good part of a request's processor time.
    """

    def __init__(self, *, keep_alive: bool) -> None:
        super().__init__()
        self._keeps_alive = keep_alive

    @property
    def keep_alive(self) -> bool:
        """Return whether another request may follow on the connection."""
        return self._keeps_alive

    async def prepare(self, request: BaseRequest) -> AbstractStreamWriter | None:
        """Write nothing."""

    async def write_eof(self, data: bytes = b"") -> None:
        """Write nothing."""


KEPT: Final = SentResponse(keep_alive=True)
CLOSED: Final = SentResponse(keep_alive=False)
