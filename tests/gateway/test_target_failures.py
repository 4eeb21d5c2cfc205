"""Targets that fail before, while and after they run a request."""

from __future__ import annotations

import asyncio

from swiftpin.result import ResultCode
from tests.gateway.fake_ownership import FakeOwnership
from tests.gateway.gateway_fixture import GatewayFixture
from tests.gateway.raw_caller import RawCaller
from tests.gateway.scripted_server import (
    Script,
    ScriptedConnection,
    ScriptedServer,
    SeenRequest,
    async_answer_ok,
)

HALF_CHUNK = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"


def first_then_ok(target: ScriptedServer, first: Script) -> Script:
    """Return a script that treats only the first request specially."""

    async def async_script(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        script = first if len(target.seen) == 1 else async_answer_ok
        await script(connection, request)

    return async_script


async def test_no_connection_is_not_run(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A target that takes no connection certainly ran nothing."""
    target.stop_listening()
    answer = await caller.async_call()
    assert (answer.status, answer.result) == (503, ResultCode.TARGET_UNREACHABLE)
    assert answer.error["executed"] == "no"
    assert "retry-after" in answer.headers_by_name


async def test_lost_answer_of_a_repeatable_request_is_tried_again(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A lookup whose connection broke is sent once more and answered."""

    async def async_reset(connection: ScriptedConnection, request: SeenRequest) -> None:
        connection.reset()

    target.script = first_then_ok(target, async_reset)
    answer = await caller.async_call()
    assert answer.result == ResultCode.ANSWERED
    assert len(target.seen) == 2


async def test_lost_answers_end_unknown(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """After the last try the caller learns that the request may have run."""

    async def async_close(connection: ScriptedConnection, request: SeenRequest) -> None:
        connection.close()

    target.script = async_close
    answer = await caller.async_call()
    assert (answer.status, answer.result) == (502, ResultCode.ANSWER_LOST)
    assert answer.error["executed"] == "unknown"
    assert len(target.seen) == 3


async def test_reused_connection_that_closes_sends_nothing_twice(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """Symptom: one PUT that must not repeat runs twice.

    A connection is used again just as the target closes it, after the request
    was written. aiohttp's session sends idempotent methods, PUT among them, once
    more by itself in that case. Nothing here may do so: it is not known whether
    the target ran the request before it closed.
    """

    async def async_close_second(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        if len(target.seen) == 1:
            await connection.async_answer()
        else:
            connection.reset()

    target.script = async_close_second
    assert (await caller.async_call()).status == 200
    answer = await caller.async_call(
        "PUT", "/desk/once/1", headers="Idempotency-Key: b1\r\n", body=b"x"
    )
    assert answer.result == ResultCode.ANSWER_LOST
    assert answer.error["executed"] == "unknown"
    assert [request.method for request in target.seen] == ["GET", "PUT"]
    assert target.connections == 1


async def test_refusal_is_not_run(caller: RawCaller, target: ScriptedServer) -> None:
    """A target's refusal is passed on as certainly not run."""

    async def async_refuse(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        await connection.async_answer(
            status="503 Busy", headers="Target-Refusal: shed\r\n"
        )

    target.script = async_refuse
    answer = await caller.async_call()
    assert (answer.status, answer.result) == (503, ResultCode.TARGET_REFUSED)
    assert answer.error["executed"] == "no"


async def test_cut_small_answer_is_not_given_as_whole(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """An answer that ends before its length is reported, not passed on."""

    async def async_cut(connection: ScriptedConnection, request: SeenRequest) -> None:
        await connection.async_answer(b"half", length=8)
        connection.close()

    target.script = async_cut
    answer = await caller.async_call()
    assert (answer.status, answer.result) == (502, ResultCode.ANSWER_CUT_SHORT)
    assert answer.error["executed"] == "unknown"


async def test_cut_stream_is_cut_towards_the_caller(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """Symptom: a download that broke off is saved as if it were whole.

    A target begins a long answer and dies. The head has gone to the caller by then,
    so nothing but the broken connection can tell it.
    """

    async def async_cut(connection: ScriptedConnection, request: SeenRequest) -> None:
        await connection.async_write(HALF_CHUNK)
        connection.close()

    target.script = async_cut
    answer = await caller.async_call()
    assert (answer.status, answer.whole, answer.body) == (200, False, b"hello")
    assert f"result={ResultCode.ANSWER_CUT_SHORT.value}" in gateway.lines[-1]
    assert "level=warning" in gateway.lines[-1]


async def test_cut_stream_resets_a_caller_without_framing(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """Symptom: an HTTP/1.0 caller takes a cut answer for a whole one.

    HTTP/1.0 knows no chunks, so the end of the connection ends the answer. An orderly
    close would mean "whole"; only a reset shows that it is not.
    """

    async def async_cut(connection: ScriptedConnection, request: SeenRequest) -> None:
        await connection.async_write(HALF_CHUNK)
        connection.close()

    target.script = async_cut
    await caller.async_send_raw(
        b"GET /desk/a HTTP/1.0\r\nHost: h\r\nSwiftpin-Key: k1\r\n\r\n"
    )
    try:
        await caller.reader.read()
    except ConnectionResetError:
        return
    raise AssertionError("the connection was closed in order")


async def test_answer_without_framing_is_refused(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """An answer that only the connection's end ends can't be known to be whole."""

    async def async_unframed(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        await connection.async_write(b"HTTP/1.1 200 OK\r\n\r\nsome text")
        connection.close()

    target.script = async_unframed
    answer = await caller.async_call()
    assert answer.result == ResultCode.ANSWER_LOST


async def test_answer_that_is_not_http_ends_unknown(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """Garbage from a target is no answer."""

    async def async_garbage(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        await connection.async_write(b"garbage\r\n\r\n")

    target.script = async_garbage
    assert (await caller.async_call()).result == ResultCode.ANSWER_LOST


async def test_late_answer_reaches_nobody_else(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """Symptom: a caller receives the answer to another caller's request.

    A request's deadline passes; its answer comes later on the same connection. Were
    the connection used again, the next request would receive it.
    """
    release = asyncio.Event()

    async def async_late(connection: ScriptedConnection, request: SeenRequest) -> None:
        await release.wait()
        await connection.async_answer(b"late")

    target.script = first_then_ok(target, async_late)
    answer = await caller.async_call(headers="Swiftpin-Timeout: 50\r\n")
    assert (answer.status, answer.result) == (504, ResultCode.DEADLINE_EXCEEDED)
    assert answer.error["executed"] == "unknown"
    release.set()
    assert (await caller.async_call()).body == b"ok"
    assert target.connections == 2


async def test_unasked_answer_reaches_nobody(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """Symptom: a caller receives an answer that nobody asked for.

    A target answers twice. The second answer waits on the idle connection, where
    the next request would find it.
    """

    async def async_twice(connection: ScriptedConnection, request: SeenRequest) -> None:
        await connection.async_write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
        )

    target.script = first_then_ok(target, async_twice)
    assert (await caller.async_call()).body == b"ok"
    assert (await caller.async_call()).body == b"ok"
    assert target.connections == 2


async def test_answer_to_another_request_is_refused(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """An answer that names another request's id is not given to this one."""

    async def async_other(connection: ScriptedConnection, request: SeenRequest) -> None:
        await connection.async_answer(headers="Swiftpin-Request-Id: other\r\n")

    target.script = async_other
    assert (await caller.async_call()).result == ResultCode.ANSWER_LOST


async def test_early_answer_to_a_streamed_body_is_passed_on(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A target may refuse a long body before it has read it."""
    body = b"x" * 200_000

    async def async_early(connection: ScriptedConnection) -> None:
        await connection.reader.readuntil(b"\r\n\r\n")
        await connection.async_answer(b"no", status="413 Too Large")

    target.on_connect = async_early
    await caller.async_send("POST", headers="Content-Length: 1000000\r\n")
    await caller.async_send_raw(body)
    answer = await caller.async_read()
    assert (answer.status, answer.body) == (413, b"no")


async def test_lease_is_checked_right_before_the_write(
    caller: RawCaller, target: ScriptedServer, ownership: FakeOwnership
) -> None:
    """Symptom: a paused holder sends after another has taken over.

    The route was resolved while the lease was held; the process was then paused, or
    waited for a connection, and the lease lapsed. Nothing may be written after it.
    """
    ownership.holding = False
    answer = await caller.async_call()
    assert answer.result == ResultCode.NOT_HOLDER
    assert answer.error["executed"] == "no"
    assert not target.seen
