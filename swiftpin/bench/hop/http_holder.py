"""The holder's end of the hop by HTTP, written as the gateway writes its answers."""

from __future__ import annotations

import asyncio

from aiohttp.web import BaseRequest, Server, StreamResponse
from multidict import CIMultiDict

from swiftpin.bench.hop.hop_headers import (
    ANSWER_HEADERS,
    CHUNK,
    HEADER_ANSWER_BYTES,
    pieces,
)
from swiftpin.gateway.sent_response import KEPT
from swiftpin.helpers.address import Address


async def async_listen_http(address: Address) -> asyncio.AbstractServer:
    """Serve forwarded requests."""
    server = Server(_async_answer, access_log=None, auto_decompress=False)
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, address.host, address.port)


async def _async_answer(request: BaseRequest) -> StreamResponse:
    """Read a request to its end and answer as it asks."""
    content = request.content
    while not content.at_eof():
        await content.readany()
    body = bytes(int(request.headers.get(HEADER_ANSWER_BYTES, "0")))
    headers = CIMultiDict(ANSWER_HEADERS)
    headers["Content-Length"] = str(len(body))
    writer = request.writer
    await writer.write_headers("HTTP/1.1 200 OK", headers)
    if len(body) <= CHUNK:
        await writer.write_eof(body)
        return KEPT
    for piece in pieces(body):
        await writer.write(piece)
    await writer.write_eof()
    return KEPT
