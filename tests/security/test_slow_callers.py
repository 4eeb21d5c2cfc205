"""Tests for callers that send their requests byte by byte."""

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

SEND_INTERVAL = 0.01
READ_TIMEOUT = 20.0


@asynccontextmanager
async def sending_slowly(caller: RawCaller, byte: bytes) -> AsyncIterator[None]:
    """Keep sending a byte at short intervals within the context."""

    async def async_send_repeatedly() -> None:
        while True:
            await caller.async_send_raw(byte)
            await asyncio.sleep(SEND_INTERVAL)

    task = asyncio.create_task(async_send_repeatedly())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _async_answer(request: BaseRequest) -> Response:
    """Answer every request."""
    return Response(text="ok")


@pytest.mark.parametrize("first_request", [b"", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"])
async def test_slow_head_is_cut_off(
    monkeypatch: pytest.MonkeyPatch, first_request: bytes
) -> None:
    """Guards against a few clients that occupy all connections (Slowloris attack).

    Each connection sends an endless header byte by byte, as its first request or
    after a request that was served.
    """
    monkeypatch.setattr(http_listener, "IDLE_LIMIT", 0.1)
    listener = HttpListener(_async_answer, max_line=8192, max_headers=64)
    address = await listener.async_setup(Address(host="127.0.0.1", port=0))
    caller = RawCaller(str(address))
    await caller.async_setup()
    if first_request:
        await caller.async_send_raw(first_request)
        await caller.async_read()
    await caller.async_send_raw(b"GET / HTTP/1.1\r\nX-Slow: ")
    async with sending_slowly(caller, b"x"):
        try:
            rest = await asyncio.wait_for(caller.reader.read(), READ_TIMEOUT)
        except ConnectionError:
            rest = b""
    assert rest == b""
    await caller.async_unload()
    await listener.async_unload()


async def test_slow_body_is_cut_off(caller: RawCaller, target: ScriptedServer) -> None:
    """Guards against callers that occupy all slots by sending bodies byte by byte.

    Each byte arrives within the idle timeout, so the request's deadline must end it.
    No part of it is forwarded to the target.
    """
    await caller.async_send(
        "POST",
        headers="Swiftpin-Timeout: 200\r\nContent-Length: 1000000\r\n",
    )
    async with sending_slowly(caller, b"x"):
        answer = await asyncio.wait_for(caller.async_read(), READ_TIMEOUT)
    assert answer.result == ResultCode.DEADLINE_TOO_SHORT
    assert answer.error["executed"] == "no"
    assert answer.headers_by_name["connection"] == "close"
    assert not target.seen


async def test_slow_body_of_a_refused_request_is_cut_off(
    gateway: GatewayFixture,
) -> None:
    """The body of a refused request is not read without limit."""
    gateway._listener._server._kwargs["lingering_time"] = 0.1
    caller = RawCaller(gateway.address)
    await caller.async_setup()
    await caller.async_send("POST", "/nothing/a", headers="Content-Length: 1000000\r\n")
    async with sending_slowly(caller, b"x"):
        answer = await caller.async_read()
        try:
            rest = await asyncio.wait_for(caller.reader.read(), READ_TIMEOUT)
        except ConnectionError:
            rest = b""
    assert answer.result == ResultCode.UNKNOWN_SERVICE
    assert rest == b""
    await caller.async_unload()
