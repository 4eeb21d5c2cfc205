"""Both ways pass the same bodies on."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from swiftpin.bench.hop.grpc_holder import async_listen_grpc
from swiftpin.bench.hop.grpc_sender import GrpcSender
from swiftpin.bench.hop.hop_case import MEGABYTE
from swiftpin.bench.hop.hop_sender import HopSender
from swiftpin.bench.hop.hop_way import HopWay
from swiftpin.bench.hop.http_holder import async_listen_http
from swiftpin.bench.hop.http_sender import HttpSender
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.helpers.address import parse_address


@pytest_asyncio.fixture(params=list(HopWay))
async def sender(request: pytest.FixtureRequest) -> AsyncIterator[HopSender]:
    """Return a sender whose holder listens."""
    address = PortAllocator().allocate()
    is_http = request.param is HopWay.HTTP
    listen = async_listen_http if is_http else async_listen_grpc
    server = await listen(parse_address(address))
    sender: HopSender = HttpSender(address) if is_http else GrpcSender(address)
    yield sender
    await sender.async_close()
    server.close()
    await server.wait_closed()


@pytest.mark.parametrize("sent", [0, 100, MEGABYTE])
@pytest.mark.parametrize("wanted", [1, 200, MEGABYTE])
async def test_answer_is_whole(sender: HopSender, sent: int, wanted: int) -> None:
    """The holder reads any body and the entry gets all that it asked for."""
    assert await sender.async_send(bytes(sent), wanted) == wanted
