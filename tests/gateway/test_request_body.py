"""Bodies that break off, stall or grow too large."""

from __future__ import annotations

import asyncio
import tracemalloc
from unittest.mock import Mock

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
import pytest

from swiftpin.gateway import request_body
from swiftpin.gateway.request_body import WHOLE_LIMIT, RequestBody
from swiftpin.result import ResultCode
from tests.gateway.gateway_fixture import GatewayFixture
from tests.gateway.raw_caller import RawCaller
from tests.gateway.scripted_server import ScriptedServer

READ_LIMIT = 64 * 1024
HEAD = b"POST /desk/a HTTP/1.1\r\nHost: h\r\nSwiftpin-Key: k1\r\n"


class ReadingProtocol(BaseProtocol):
    """A connection that is open and need not be paused."""

    connected = True

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing."""


async def test_body_cut_short_is_not_run(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """A caller that leaves within its body has nothing run for it."""
    await caller.async_send_raw(HEAD + b"Content-Length: 100\r\n\r\npart")
    await caller.async_unload()
    while not gateway.lines:  # noqa: ASYNC110 - nothing tells of an end
        await asyncio.sleep(0.001)
    assert f"result={ResultCode.CALLER_LEFT.value} executed=no" in gateway.lines[-1]
    assert not target.seen


async def test_slow_body_is_not_run(
    caller: RawCaller, target: ScriptedServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Symptom: callers that feed bodies byte by byte hold all places.

    A body that makes no progress is given up long before the request's deadline.
    """
    monkeypatch.setattr(request_body, "STALL_LIMIT", 0.05)
    await caller.async_send_raw(HEAD + b"Content-Length: 100\r\n\r\npart")
    answer = await caller.async_read()
    assert answer.result == ResultCode.BODY_CUT_SHORT
    assert answer.error["executed"] == "no"
    assert not target.seen


async def test_body_in_small_pieces_takes_its_length() -> None:
    """Guards against bodies sent byte by byte that take many times their length."""
    protocol = ReadingProtocol(asyncio.get_running_loop())
    content = StreamReader(protocol, READ_LIMIT)
    request = Mock(content=content, content_length=None, headers={})
    body = RequestBody(request, 2 * WHOLE_LIMIT)
    tracemalloc.start()
    reading = asyncio.create_task(body.async_prefetch())
    for _ in range(WHOLE_LIMIT - 1):
        content.feed_data(b"x")
        await asyncio.sleep(0)
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    content.feed_eof()
    await reading
    assert body.whole == b"x" * (WHOLE_LIMIT - 1)
    assert taken < 4 * WHOLE_LIMIT


async def test_broken_chunk_is_not_run(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A body whose framing is wrong has nothing run for it."""
    await caller.async_send_raw(HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n")
    answer = await caller.async_read()
    assert answer.result in (ResultCode.BODY_CUT_SHORT, ResultCode.MALFORMED_REQUEST)
    assert answer.error["executed"] == "no"
    assert not target.seen


async def test_chunked_body_above_the_limit_does_not_claim_too_much(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A body found too large after a part was sent on may have run."""
    await caller.async_send_raw(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    for _ in range(17):
        await caller.async_send_raw(chunk)
    answer = await caller.async_read()
    assert answer.result == ResultCode.OUTCOME_UNKNOWN
    assert not target.seen


async def test_caller_that_waits_is_asked_for_its_body(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """`Expect: 100-continue` is answered before the body is read."""
    await caller.async_send_raw(
        HEAD + b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"
    )
    interim = await caller.reader.readuntil(b"\r\n\r\n")
    assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
    await caller.async_send_raw(b"body")
    assert (await caller.async_read()).result == ResultCode.ANSWERED
    assert target.seen[0].body == b"body"
    assert "expect" not in target.seen[0].headers_by_name
