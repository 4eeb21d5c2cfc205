"""Forwarding by gRPC."""

from __future__ import annotations

from grpclib.client import Channel, StreamStreamMethod, UnaryUnaryMethod

from swiftpin.bench.hop.hop_headers import CHUNK, pieces, request_headers
from swiftpin.bench.hop.hop_message import (
    METHOD_STREAM,
    METHOD_WHOLE,
    AnswerPart,
    RequestPart,
    add_headers,
)
from swiftpin.helpers.address import parse_address


class GrpcSender:
    """One holder at `address`, over one connection, as gRPC is used.

    Requests and answers of at most `CHUNK` bytes are single messages, others streams.
    """

    def __init__(self, address: str) -> None:
        parsed = parse_address(address)
        self._address = address
        self._channel = Channel(parsed.host, parsed.port)
        self._whole = UnaryUnaryMethod(
            self._channel, METHOD_WHOLE, RequestPart, AnswerPart
        )
        self._stream = StreamStreamMethod(
            self._channel, METHOD_STREAM, RequestPart, AnswerPart
        )

    async def async_send(self, body: bytes, answer_bytes: int) -> int:
        """Forward one request; return the bytes of its answer's body."""
        part = RequestPart(method="POST" if body else "GET", path="/desk/items/1")
        add_headers(part, request_headers(self._address, answer_bytes).items())
        if max(len(body), answer_bytes) <= CHUNK:
            part.body = body
            answer = await self._whole(part)
            return len(answer.body)
        return await self._async_stream(part, body)

    async def _async_stream(self, head: RequestPart, body: bytes) -> int:
        """Send the head, then the body's pieces; read the answer's pieces."""
        async with self._stream.open() as stream:
            await stream.send_message(head, end=not body)
            rest = pieces(body)
            for number, piece in enumerate(rest, start=1):
                await stream.send_message(
                    RequestPart(body=piece), end=number == len(rest)
                )
            received = 0
            async for answer in stream:
                received += len(answer.body)
            return received

    async def async_close(self) -> None:
        """Close the connection."""
        self._channel.close()
