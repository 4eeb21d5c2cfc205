"""Requests that go on to the instance that holds their group."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest_asyncio

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

LARGE = b"x" * 300_000


@pytest_asyncio.fixture
async def entry(
    catalog: Catalog, gateway: GatewayFixture, target: ScriptedServer
) -> AsyncIterator[GatewayFixture]:
    """Return an instance that sends everything on to `gateway`."""
    ownership = FakeOwnership()
    ownership.routes = [
        local_route(target.address, forward_address=gateway.forward_address)
    ]
    fixture = GatewayFixture(ownership, catalog)
    await fixture.async_setup()
    yield fixture
    await fixture.async_unload()


@pytest_asyncio.fixture
async def entry_caller(entry: GatewayFixture) -> AsyncIterator[RawCaller]:
    """Return a caller of the entry instance."""
    connected = RawCaller(entry.address)
    await connected.async_setup()
    yield connected
    await connected.async_unload()


async def test_forwarded_request_is_answered(
    entry_caller: RawCaller, entry: GatewayFixture, target: ScriptedServer
) -> None:
    """The answer comes back under the request id of the entry instance."""
    answer = await entry_caller.async_call("POST", "/desk/a?b=c", body=b"body")
    seen = target.seen[0]
    assert (answer.result, answer.body) == (ResultCode.ANSWERED, b"ok")
    assert (seen.path, seen.body) == ("/a?b=c", b"body")
    request_id = answer.headers_by_name["swiftpin-request-id"]
    assert seen.headers_by_name["swiftpin-request-id"] == request_id
    for name in ("swiftpin-hops", "swiftpin-caller"):
        assert name not in seen.headers_by_name


async def test_bodies_stream_through_the_hop(
    entry_caller: RawCaller, target: ScriptedServer
) -> None:
    """Large bodies pass both ways."""

    async def async_echo(connection: ScriptedConnection, request: SeenRequest) -> None:
        await connection.async_answer(request.body)

    target.script = async_echo
    answer = await entry_caller.async_call("POST", "/desk/a", body=LARGE)
    assert answer.body == LARGE


async def test_deadline_shrinks_on_its_way(
    entry_caller: RawCaller, target: ScriptedServer
) -> None:
    """The target has less time than the caller gave."""
    await entry_caller.async_call(headers="Swiftpin-Timeout: 3000\r\n")
    left = int(target.seen[0].headers_by_name["swiftpin-timeout"])
    assert 0 < left <= 2995


async def test_cut_answer_stays_cut_over_the_hop(
    entry_caller: RawCaller, target: ScriptedServer
) -> None:
    """An answer that the target cut is cut towards the caller too."""

    async def async_cut(connection: ScriptedConnection, request: SeenRequest) -> None:
        await connection.async_write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
        )
        connection.close()

    target.script = async_cut
    answer = await entry_caller.async_call()
    assert (answer.whole, answer.body) == (False, b"hello")


async def test_stale_route_is_refused_and_tried_again(
    entry_caller: RawCaller,
    entry: GatewayFixture,
    gateway: GatewayFixture,
    target: ScriptedServer,
) -> None:
    """Symptom: requests fail for as long as news of a new holder take.

    The entry instance knows an old holder, which refuses the request as not its
    own. By then the entry instance has learnt of the new holder.
    """
    old = GatewayFixture(FakeOwnership(), Catalog())
    old.handler._parser = gateway.handler._parser
    old.ownership.routes = [
        local_route(target.address, forward_address=gateway.forward_address)
    ]
    await old.async_setup()
    stale = local_route(target.address, forward_address=old.forward_address)
    entry.ownership.routes.insert(0, stale)
    entry.ownership.routes[1] = local_route(
        target.address, forward_address=gateway.forward_address, holder="g2/bb"
    )
    answer = await entry_caller.async_call()
    assert (answer.result, len(target.seen)) == (ResultCode.ANSWERED, 1)
    assert "attempts=2" in entry.lines[-1]
    await old.async_unload()


async def test_not_the_holder_is_final_while_the_route_stays(
    entry_caller: RawCaller, ownership: FakeOwnership, target: ScriptedServer
) -> None:
    """Without news of another holder the caller is told at once to come back."""
    ownership.routes = [local_route(target.address, forward_address="127.0.0.1:1")]
    answer = await entry_caller.async_call()
    assert (answer.status, answer.result) == (503, ResultCode.NOT_HOLDER)
    assert answer.error["executed"] == "no"
    assert "retry-after" in answer.headers_by_name


async def test_unreachable_holder_is_not_run(
    entry_caller: RawCaller, entry: GatewayFixture, target: ScriptedServer
) -> None:
    """A holder that takes no connection ran nothing."""
    dead = ScriptedServer()
    await dead.async_setup()
    dead.stop_listening()
    entry.ownership.routes = [local_route(target.address, forward_address=dead.address)]
    answer = await entry_caller.async_call()
    assert answer.result == ResultCode.HOLDER_UNREACHABLE
    assert answer.error["executed"] == "no"


async def test_lost_holder_leaves_a_booking_unknown(
    entry_caller: RawCaller, entry: GatewayFixture, target: ScriptedServer
) -> None:
    """A booking whose holder vanished after it was forwarded is not sent again."""
    holder = ScriptedServer()
    await holder.async_setup()

    async def async_reset(connection: ScriptedConnection, request: SeenRequest) -> None:
        connection.reset()

    holder.script = async_reset
    entry.ownership.routes = [
        local_route(target.address, forward_address=holder.address)
    ]
    answer = await entry_caller.async_call(
        "POST", "/desk/bookings", headers="Idempotency-Key: b1\r\n", body=b"x"
    )
    assert answer.result == ResultCode.ANSWER_LOST
    assert answer.error["executed"] == "unknown"
    assert len(holder.seen) == 1
    await holder.async_unload()


async def test_refused_retry_over_the_hop_does_not_deny_the_first_attempt(
    entry_caller: RawCaller, entry: GatewayFixture, target: ScriptedServer
) -> None:
    """Symptom: a caller is told "not run" of a lookup that a target had run.

    The first attempt over the hop ran and its answer was lost; the second one is
    refused by a holder that knows nothing of the first.
    """
    holder = ScriptedServer()
    await holder.async_setup()

    async def async_script(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        if len(holder.seen) == 1:
            connection.reset()
            return
        await connection.async_answer(
            status="503 Busy", headers="Swiftpin-Result: 301\r\n"
        )

    holder.script = async_script
    entry.ownership.routes = [
        local_route(target.address, forward_address=holder.address)
    ]
    answer = await entry_caller.async_call()
    assert answer.result == ResultCode.ATTEMPT_NOT_RUN
    assert answer.error["executed"] == "unknown"
    await holder.async_unload()


async def test_caller_that_leaves_cancels_the_hop_and_the_target(
    entry_caller: RawCaller, entry: GatewayFixture, target: ScriptedServer
) -> None:
    """Symptom: targets work for callers that left long ago.

    A caller closes its connection while its lookup runs at the target behind a hop.
    """
    closed = asyncio.Event()

    async def async_wait(connection: ScriptedConnection, request: SeenRequest) -> None:
        await connection.async_wait_closed()
        closed.set()

    target.script = async_wait
    await entry_caller.async_send()
    await target.arrived.wait()
    await entry_caller.async_unload()
    await asyncio.wait_for(closed.wait(), 5)
    await entry.handler.async_wait_idle()
    assert f"result={ResultCode.CALLER_LEFT.value}" in entry.lines[-1]


async def test_forwarded_request_goes_no_further(
    gateway: GatewayFixture, target: ScriptedServer
) -> None:
    """A request that claims no hop, or too many, is refused on the forward port."""
    caller = RawCaller(gateway.forward_address)
    await caller.async_setup()
    answer = await caller.async_call(headers="Swiftpin-Hops: 2\r\n")
    assert answer.result == ResultCode.BAD_HEADER
    assert (await caller.async_call()).result == ResultCode.BAD_HEADER
    assert not target.seen
    await caller.async_unload()
