"""Requests at an instance that gives a group up."""

from __future__ import annotations

import asyncio

from swiftpin.dispatch.close_reason import CloseReason
from swiftpin.result import ResultCode
from tests.gateway.gateway_fixture import GROUP, GatewayFixture
from tests.gateway.raw_caller import RawCaller
from tests.gateway.scripted_server import (
    ScriptedConnection,
    ScriptedServer,
    SeenRequest,
)

KEY = "Idempotency-Key: b1\r\n"


async def test_hand_over_waits_for_the_run(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """A planned hand-over lets a booking end, and begins no other."""
    release = asyncio.Event()

    async def async_slow(connection: ScriptedConnection, request: SeenRequest) -> None:
        await release.wait()
        await connection.async_answer(b"booked")

    target.script = async_slow
    await caller.async_send("POST", "/desk/bookings", headers=KEY, body=b"order")
    await target.arrived.wait()
    releasing = asyncio.create_task(gateway.groups.async_group_releasing(GROUP))
    await asyncio.sleep(0)
    assert gateway.groups.journal(GROUP) is None
    assert not releasing.done()
    release.set()
    assert (await caller.async_read()).body == b"booked"
    await releasing


async def test_lost_lease_refuses_what_waits(
    caller: RawCaller, target: ScriptedServer, gateway: GatewayFixture
) -> None:
    """Requests that wait for a slot are refused as not run when the lease goes."""
    release = asyncio.Event()

    async def async_slow(connection: ScriptedConnection, request: SeenRequest) -> None:
        await release.wait()
        await connection.async_answer()

    target.script = async_slow
    callers = [RawCaller(gateway.address) for _ in range(3)]
    for each in callers:
        await each.async_setup()
        await each.async_send()
        await target.arrived.wait()
    (queue,) = gateway.queues.queues_by_name.values()
    while not queue.waiting:  # noqa: ASYNC110 - a queue tells nobody who waits
        await asyncio.sleep(0)
    gateway.queues.close_group(GROUP, CloseReason.LEASE_LOST)
    assert (await callers[2].async_read()).result == ResultCode.NOT_HOLDER
    release.set()
    for each in callers[:2]:
        assert (await each.async_read()).result == ResultCode.ANSWERED
        await each.async_unload()
    await callers[2].async_unload()
