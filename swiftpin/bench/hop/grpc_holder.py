"""The holder's end of the hop by gRPC."""

from __future__ import annotations

from typing import Any

from grpclib.const import Cardinality, Handler
from grpclib.server import Server, Stream

from swiftpin.bench.hop.hop_headers import (
    ANSWER_HEADERS,
    HEADER_ANSWER_BYTES,
    pieces,
)
from swiftpin.bench.hop.hop_message import (
    METHOD_STREAM,
    METHOD_WHOLE,
    AnswerPart,
    RequestPart,
    add_headers,
)
from swiftpin.helpers.address import Address


class GrpcHolder:
    """Service that answers forwarded requests."""

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods as grpclib wants them."""
        return {
            METHOD_WHOLE: Handler(
                self._async_whole, Cardinality.UNARY_UNARY, RequestPart, AnswerPart
            ),
            METHOD_STREAM: Handler(
                self._async_stream, Cardinality.STREAM_STREAM, RequestPart, AnswerPart
            ),
        }

    async def _async_whole(self, stream: Stream[Any, Any]) -> None:
        """Answer a request that is one message with one message."""
        request = await stream.recv_message()
        assert request is not None
        answer = _head()
        answer.body = bytes(_answer_bytes(request))
        await stream.send_message(answer)

    async def _async_stream(self, stream: Stream[Any, Any]) -> None:
        """Answer a request that comes in pieces with an answer in pieces."""
        request = await stream.recv_message()
        assert request is not None
        while await stream.recv_message() is not None:
            pass
        await stream.send_message(_head())
        for piece in pieces(bytes(_answer_bytes(request))):
            await stream.send_message(AnswerPart(body=piece))


async def async_listen_grpc(address: Address) -> Server:
    """Serve forwarded requests."""
    server = Server([GrpcHolder()])
    await server.start(address.host, address.port)
    return server


def _head() -> Any:  # noqa: ANN401 - made at run time
    """Return the head of an answer."""
    answer = AnswerPart(status=200)
    add_headers(answer, ANSWER_HEADERS)
    return answer


def _answer_bytes(request: Any) -> int:  # noqa: ANN401 - made at run time
    """Return how many bytes the request asks for."""
    values_by_name = {header.name: header.value for header in request.headers}
    return int(values_by_name[HEADER_ANSWER_BYTES])
