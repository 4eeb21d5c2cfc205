"""Requests that are wrong are refused by number and never reach a target."""

from __future__ import annotations

import pytest

from swiftpin.result import ResultCode
from tests.gateway.gateway_fixture import GatewayFixture
from tests.gateway.raw_caller import RawCaller
from tests.gateway.scripted_server import ScriptedServer

LONG = "x" * 9000


@pytest.mark.parametrize(
    ("path", "key", "headers", "result"),
    [
        ("/nothing/items/1", "k1", "", ResultCode.UNKNOWN_SERVICE),
        ("/", "k1", "", ResultCode.UNKNOWN_SERVICE),
        ("/desk/items/1", None, "", ResultCode.MISSING_KEY),
        ("/desk/items/1", "", "", ResultCode.MISSING_KEY),
        ("/desk/items/1", "k1", "Swiftpin-Key: k2\r\n", ResultCode.BAD_HEADER),
        ("/desk/items/1", "k" * 1025, "", ResultCode.BAD_HEADER),
        ("/desk/items/1", "a\u200bb", "", ResultCode.BAD_HEADER),
        ("/desk/items/1", "k1", "Swiftpin-Timeout: soon\r\n", ResultCode.BAD_HEADER),
        ("/desk/items/1", "k1", "Swiftpin-Timeout: -5\r\n", ResultCode.BAD_HEADER),
        ("/desk/items/1", "k1", "Swiftpin-Timeout: 1.5\r\n", ResultCode.BAD_HEADER),
        (
            "/desk/items/1",
            "k1",
            f"Swiftpin-Timeout: {'9' * 40}\r\n",
            ResultCode.BAD_HEADER,
        ),
        (
            "/desk/items/1",
            "k1",
            "Swiftpin-Timeout: 0\r\n",
            ResultCode.DEADLINE_TOO_SHORT,
        ),
        ("/desk/a/../bookings", "k1", "", ResultCode.MALFORMED_REQUEST),
        ("/desk/a%2F..%2Fbookings", "k1", "", ResultCode.MALFORMED_REQUEST),
        ("/desk/%2e%2e/bookings", "k1", "", ResultCode.MALFORMED_REQUEST),
        ("/desk/items/1", "k1", f"X-Long: {LONG}\r\n", ResultCode.REQUEST_TOO_LARGE),
        (f"/desk/{LONG}", "k1", "", ResultCode.REQUEST_TOO_LARGE),
    ],
)
async def test_wrong_request_is_refused(
    caller: RawCaller,
    target: ScriptedServer,
    path: str,
    key: str | None,
    headers: str,
    result: ResultCode,
) -> None:
    """The answer names what is wrong and says that nothing ran."""
    answer = await caller.async_call(path=path, key=key, headers=headers)
    assert answer.result == result
    assert answer.error["code"] == result
    assert answer.error["name"] == result.name
    assert answer.error["executed"] == "no"
    assert answer.error["hint"]
    assert not target.seen


async def test_encoded_path_is_classified_as_its_target_reads_it(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A booking stays a booking when a letter of its path is encoded."""
    answer = await caller.async_call("POST", "/desk/%62ookings/1", body=b"x")
    assert answer.result == ResultCode.MISSING_IDEMPOTENCY_KEY


async def test_garbage_is_answered_by_number(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """What is not HTTP gets a numbered answer and no more requests."""
    await caller.async_send_raw(b"\x16\x03\x01nonsense\r\n\r\n")
    answer = await caller.async_read()
    assert answer.result == ResultCode.MALFORMED_REQUEST
    assert await caller.reader.read() == b""


async def test_two_lengths_are_refused(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A body whose end two readers could see differently is not passed on."""
    await caller.async_send_raw(
        b"POST /desk/a HTTP/1.1\r\nHost: h\r\nSwiftpin-Key: k1\r\n"
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    )
    answer = await caller.async_read()
    assert answer.result == ResultCode.MALFORMED_REQUEST
    assert not target.seen


async def test_stated_length_above_the_limit_is_refused(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A body that is too large is refused before it is read."""
    await caller.async_send("POST", headers="Content-Length: 1048577\r\n")
    answer = await caller.async_read()
    assert (answer.status, answer.result) == (413, ResultCode.REQUEST_TOO_LARGE)
    assert answer.headers_by_name["connection"] == "close"
    assert not target.seen


async def test_forged_routing_headers_are_dropped(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """A caller can't claim a slice, a term, a holder or another's request id."""
    forged = (
        "Swiftpin-Slice: 9\r\nSwiftpin-Term: 999\r\nSwiftpin-Holder: evil/1\r\n"
        "swiftpin-request-id: stolen\r\nSwiftpin-Caller: me\r\nSwiftpin-New: x\r\n"
        "Swiftpin-Hops: 1\r\nSwiftpin-Result: 100\r\nX-Mine: kept\r\n"
    )
    answer = await caller.async_call(headers=forged)
    headers_by_name = target.seen[0].headers_by_name
    assert headers_by_name["swiftpin-slice"] == "7"
    assert headers_by_name["swiftpin-term"] == "4"
    assert headers_by_name["swiftpin-holder"] == "g1/aa"
    assert headers_by_name["swiftpin-request-id"] != "stolen"
    assert headers_by_name["x-mine"] == "kept"
    for name in ("swiftpin-caller", "swiftpin-new", "swiftpin-hops", "swiftpin-result"):
        assert name not in headers_by_name
    assert answer.headers_by_name["swiftpin-request-id"] != "stolen"


async def test_hop_headers_end_here(caller: RawCaller, target: ScriptedServer) -> None:
    """Headers about the caller's connection do not reach the target's."""
    await caller.async_call(
        headers="Connection: keep-alive, X-Private\r\nX-Private: 1\r\nTE: trailers\r\n"
    )
    headers_by_name = target.seen[0].headers_by_name
    for name in ("connection", "x-private", "te"):
        assert name not in headers_by_name


async def test_log_lines_cannot_be_forged(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """Symptom: a line that swiftpin never wrote stands in the log.

    A caller puts quotes, an equals sign and what looks like further pairs into its
    key. Without quoting they would read as pairs of the line.
    """
    await caller.async_call(key='k" result=100 executed=yes event="x')
    (line,) = gateway.lines
    assert r'key="k\" result=100 executed=yes event=\"x"' in line
    assert "\n" not in line


async def test_requests_before_the_declarations_are_known_are_not_run(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """An instance that has just started calls no service unknown."""
    gateway.lifecycle.loaded = False
    answer = await caller.async_call()
    assert (answer.status, answer.result) == (503, ResultCode.NOT_READY)
    assert answer.headers_by_name["retry-after"] == "1"


async def test_requests_above_the_limit_are_not_run(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """A full instance refuses at once."""
    gateway.handler._limit = 0
    answer = await caller.async_call()
    assert (answer.status, answer.result) == (503, ResultCode.OVERLOADED)
