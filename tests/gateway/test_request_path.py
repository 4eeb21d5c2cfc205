"""Requests that reach a target and are answered."""

from __future__ import annotations

from swiftpin.result import ResultCode
from tests.gateway.fake_ownership import FakeOwnership
from tests.gateway.gateway_fixture import GatewayFixture
from tests.gateway.raw_caller import RawCaller
from tests.gateway.scripted_server import (
    ScriptedConnection,
    ScriptedServer,
    SeenRequest,
)

LARGE = b"x" * 300_000


async def test_answer_reaches_the_caller(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A target's answer is passed on with a result code."""
    answer = await caller.async_call()
    assert (answer.status, answer.result, answer.body) == (200, 100, b"ok")


async def test_target_sees_path_without_service_and_routing_headers(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """The target learns the key, its slice and the order it stands under."""
    answer = await caller.async_call("POST", "/desk/items/1?a=b%20c", body=b"body")
    seen = target.seen[0]
    assert (seen.method, seen.path, seen.body) == ("POST", "/items/1?a=b%20c", b"body")
    headers_by_name = seen.headers_by_name
    assert headers_by_name["host"] == target.address
    assert headers_by_name["swiftpin-service"] == "desk"
    assert headers_by_name["swiftpin-key"] == "k1"
    assert headers_by_name["swiftpin-slice"] == "7"
    assert headers_by_name["swiftpin-group"] == "1"
    assert headers_by_name["swiftpin-term"] == "4"
    assert headers_by_name["swiftpin-holder"] == "g1/aa"
    request_id = answer.headers_by_name["swiftpin-request-id"]
    assert headers_by_name["swiftpin-request-id"] == request_id


async def test_connections_are_used_again(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """One connection carries one request after the other."""
    for _ in range(3):
        assert (await caller.async_call()).status == 200
    assert target.connections == 1


async def test_large_body_is_streamed(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A body that is not held in memory arrives whole."""
    answer = await caller.async_call("POST", body=LARGE)
    assert answer.status == 200
    assert target.seen[0].body == LARGE
    assert target.seen[0].headers_by_name["content-length"] == str(len(LARGE))


async def test_large_answer_is_streamed(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """An answer that is not held in memory arrives whole."""

    async def async_script(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        await connection.async_answer(LARGE)

    target.script = async_script
    answer = await caller.async_call()
    assert answer.body == LARGE
    assert answer.headers_by_name["content-length"] == str(len(LARGE))


async def test_chunked_answer_stays_chunked(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """An answer without a length is framed in chunks."""

    async def async_script(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        await connection.async_write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )

    target.script = async_script
    answer = await caller.async_call()
    assert (answer.body, answer.whole) == (b"abcde", True)


async def test_head_keeps_the_length(caller: RawCaller, target: ScriptedServer) -> None:
    """The answer to HEAD states the length that GET would have."""

    async def async_script(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        await connection.async_write(b"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n")

    target.script = async_script
    answer = await caller.async_call("HEAD")
    assert answer.headers_by_name["content-length"] == "17"
    assert (await caller.async_call("HEAD")).status == 200


async def test_each_request_has_a_line(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """A routing decision is logged with all that led to it."""
    await caller.async_call()
    (line,) = gateway.lines
    for pair in (
        "event=request service=desk key=k1",
        "slice=7 group=1 target=t1 term=4 holder=g1/aa reason=owner",
        "result=100 executed=yes",
    ):
        assert all(part in line.split() for part in pair.split())


async def test_short_time_without_an_owner_is_waited_for(
    caller: RawCaller, target: ScriptedServer, ownership: FakeOwnership
) -> None:
    """Symptom: each renewal of a lease refuses some requests for a second.

    Between two terms a key has no owner for some milliseconds.
    """
    ownership.gaps = 1
    answer = await caller.async_call()
    assert answer.result == ResultCode.ANSWERED


async def test_no_owner_is_told_soon(
    caller: RawCaller, target: ScriptedServer, ownership: FakeOwnership
) -> None:
    """A key without an owner is refused after a few looks, as not run."""
    ownership.routes.clear()
    answer = await caller.async_call()
    assert (answer.status, answer.result) == (503, ResultCode.NO_OWNER)
    assert answer.error["executed"] == "no"
