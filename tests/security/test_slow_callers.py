"""Callers that feed their requests byte by byte."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp.web import BaseRequest, Response
import pytest

from swiftpin.gateway import http_listener
from swiftpin.gateway.http_listener import HttpListener
from swiftpin.helpers.address import Address
from swiftpin.result import ResultCode
from tests.gateway.gateway_fixture import GatewayFixture
from tests.gateway.raw_caller import RawCaller
from tests.gateway.scripted_server import ScriptedServer

PACE = 0.01
PATIENCE = 20.0


@asynccontextmanager
async def dripping(caller: RawCaller, byte: bytes) -> AsyncIterator[None]:
    """Send a byte now and then, without an end."""

    async def async_drip() -> None:
        while True:
            await caller.async_send_raw(byte)
            await asyncio.sleep(PACE)

    task = asyncio.create_task(async_drip())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _async_answer(request: BaseRequest) -> Response:
    """Answer."""
    return Response(text="ok")


@pytest.mark.parametrize("before", [b"", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"])
async def test_slow_head_is_cut_off(
    monkeypatch: pytest.MonkeyPatch, before: bytes
) -> None:
    """Symptom: a few machines with many connections keep every caller out.

    Each connection sends a header without an end, a byte at a time, at its beginning
    or after a request that was served.
    """
    monkeypatch.setattr(http_listener, "IDLE_LIMIT", 0.1)
    listener = HttpListener(_async_answer, max_line=8192, max_headers=64)
    address = await listener.async_setup(Address(host="127.0.0.1", port=0))
    caller = RawCaller(str(address))
    await caller.async_setup()
    if before:
        await caller.async_send_raw(before)
        await caller.async_read()
    await caller.async_send_raw(b"GET / HTTP/1.1\r\nX-Slow: ")
    async with dripping(caller, b"x"):
        try:
            rest = await asyncio.wait_for(caller.reader.read(), PATIENCE)
        except ConnectionError:
            rest = b""
    assert rest == b""
    await caller.async_unload()
    await listener.async_unload()


async def test_slow_body_is_cut_off(caller: RawCaller, target: ScriptedServer) -> None:
    """Symptom: callers that feed bodies byte by byte hold all places.

    Each byte comes within the limit for a stall; what ends the request is its
    deadline, and nothing was sent on by then.
    """
    await caller.async_send(
        "POST",
        headers="Swiftpin-Timeout: 200\r\nContent-Length: 1000000\r\n",
    )
    async with dripping(caller, b"x"):
        answer = await asyncio.wait_for(caller.async_read(), PATIENCE)
    assert answer.result == ResultCode.DEADLINE_TOO_SHORT
    assert answer.error["executed"] == "no"
    assert answer.headers_by_name["connection"] == "close"
    assert not target.seen


async def test_slow_body_of_a_refused_request_is_cut_off(
    gateway: GatewayFixture,
) -> None:
    """A refused request's body is not read on and on."""
    gateway._listener._server._kwargs["lingering_time"] = 0.1
    caller = RawCaller(gateway.address)
    await caller.async_setup()
    await caller.async_send("POST", "/nothing/a", headers="Content-Length: 1000000\r\n")
    async with dripping(caller, b"x"):
        answer = await caller.async_read()
        try:
            rest = await asyncio.wait_for(caller.reader.read(), PATIENCE)
        except ConnectionError:
            rest = b""
    assert answer.result == ResultCode.UNKNOWN_SERVICE
    assert rest == b""
    await caller.async_unload()
