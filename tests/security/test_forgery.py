"""Tests that callers and targets can't forge swiftpin's headers or log lines."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from swiftpin.config.catalog import Catalog
from swiftpin.result import ResultCode
from tests.gateway.conftest import local_route
from tests.gateway.fake_ownership import FakeOwnership
from tests.gateway.gateway_fixture import GatewayFixture
from tests.gateway.raw_caller import RawCaller
from tests.gateway.scripted_server import (
    ScriptedConnection,
    ScriptedServer,
    SeenRequest,
)

FORGED = (
    "Swiftpin-Slice: 9\r\nSWIFTPIN-TERM: 999\r\nswiftpin-holder: evil/1\r\n"
    "Swiftpin-Group: 66\r\nSwiftpin-Service: other\r\nSwiftpin-Request-Id: stolen\r\n"
    "Swiftpin-Caller: 1.2.3.4\r\nSwiftpin-Hops: 1\r\nSwiftpin-Instance: g9/ff\r\n"
    "Swiftpin-Result: 100\r\nSwiftpin-Executed: no\r\nTarget-Refusal: lapsed\r\n"
)
GENUINE_BY_NAME = {
    "swiftpin-slice": "7",
    "swiftpin-term": "4",
    "swiftpin-holder": "g1/aa",
    "swiftpin-group": "1",
    "swiftpin-service": "desk",
    "swiftpin-key": "k1",
}
DROPPED = ("caller", "hops", "instance", "result", "executed")


@pytest.fixture
async def entry(
    catalog: Catalog, gateway: GatewayFixture, target: ScriptedServer
) -> AsyncIterator[GatewayFixture]:
    """Return an instance that forwards every request to `gateway`."""
    ownership = FakeOwnership()
    ownership.routes = [
        local_route(target.address, forward_address=gateway.forward_address)
    ]
    fixture = GatewayFixture(ownership, catalog)
    await fixture.async_setup()
    yield fixture
    await fixture.async_unload()


@pytest.mark.parametrize("hops", [0, 1])
async def test_forged_headers_do_not_reach_the_target(
    gateway: GatewayFixture, entry: GatewayFixture, target: ScriptedServer, hops: int
) -> None:
    """Guards against forged headers for term, holder, hops or result, in any case.

    A caller could also list the genuine headers in `Connection` to have them dropped
    as hop-by-hop headers. Both are tested with and without a forward.
    """
    caller = RawCaller((gateway, entry)[hops].address)
    await caller.async_setup()
    connection = "Connection: keep-alive, Swiftpin-Term, Swiftpin-Holder\r\n"
    answer = await caller.async_call(headers=FORGED + connection)
    assert answer.result == ResultCode.ANSWERED
    headers_by_name = target.seen[0].headers_by_name
    for name, value in GENUINE_BY_NAME.items():
        assert headers_by_name[name] == value
    assert headers_by_name["swiftpin-request-id"] != "stolen"
    assert answer.headers_by_name["swiftpin-request-id"] != "stolen"
    for name in DROPPED:
        assert f"swiftpin-{name}" not in headers_by_name
    await caller.async_unload()


async def test_callers_port_knows_no_hops(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """A caller that claims to be an instance is still handled as a caller."""
    await caller.async_call(headers="Swiftpin-Hops: 1\r\nSwiftpin-Caller: g2\r\n")
    (line,) = gateway.lines
    assert " entry=caller " in line


async def test_target_cannot_forge_a_result(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """The gateway replaces result headers that a target sends."""

    async def async_script(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        await connection.async_answer(
            headers="Swiftpin-Result: 305\r\nSwiftpin-Executed: no\r\n"
        )

    target.script = async_script
    answer = await caller.async_call()
    assert answer.result == ResultCode.ANSWERED
    assert answer.headers_by_name.get("swiftpin-executed") != "no"


async def test_many_headers_are_refused(
    caller: RawCaller, target: ScriptedServer
) -> None:
    """The number of headers is limited, not only their size."""
    headers = "".join(f"X-{number}: 1\r\n" for number in range(200))
    answer = await caller.async_call(headers=headers)
    assert answer.error["executed"] == "no"
    assert answer.result == ResultCode.MALFORMED_REQUEST
    assert not target.seen


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/nothing%0Atime=1 event=request", ""),
        ("/nothing%0D%0Atime=1", ""),
        ("/desk/bookings", 'Idempotency-Key: a" result=100 event="x\r\n'),
        ("/desk/a", "Swiftpin-Timeout: 1 result=100\r\n"),
    ],
)
async def test_log_line_stays_one_line(
    caller: RawCaller,
    target: ScriptedServer,
    gateway: GatewayFixture,
    path: str,
    headers: str,
) -> None:
    """Guards against requests that inject a line or a field into the log."""
    await caller.async_call("POST", path.replace(" ", "%20"), headers=headers, body=b"")
    (line,) = gateway.lines
    assert line.count("\n") + line.count("\r") == 0
    assert line.count(" event=") == 1
    assert line.count(" result=") == 1
