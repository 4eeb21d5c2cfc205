"""Forwarding by HTTP, over the gateway's own client."""

from __future__ import annotations

from collections.abc import AsyncIterator

from swiftpin.bench.hop.hop_headers import CHUNK, pieces, request_headers
from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState


class PlainBody:
    """A body that is held when it is small and given in pieces when it is large."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    @property
    def whole(self) -> bytes | None:
        """Return the body if it is small."""
        return self._body if len(self._body) <= CHUNK else None

    @property
    def length(self) -> int:
        """Return the length in bytes."""
        return len(self._body)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Give the pieces."""
        for piece in pieces(self._body):
            yield piece


class HttpSender:
    """One holder at `address`."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = HttpClient()

    async def async_send(self, body: bytes, answer_bytes: int) -> int:
        """Forward one request; return the bytes of its answer's body."""
        request = HttpRequest(
            method="POST" if body else "GET",
            path="/desk/items/1",
            headers=request_headers(self._address, answer_bytes),
            body=PlainBody(body),
        )
        answer = await self._client.async_exchange(
            self._address, request, HttpSendState(), _open_gate, connections=500
        )
        try:
            received = 0
            while chunk := await answer.async_read_chunk():
                received += len(chunk)
            return received
        finally:
            answer.finish(monotonic_now())

    async def async_close(self) -> None:
        """Close the connections."""
        self._client.unload()


@callback
def _open_gate(now: float) -> None:
    """Hold nothing back."""
