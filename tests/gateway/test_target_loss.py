"""Requests in flight at a target that is lost."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest_asyncio

from swiftpin.result import Executed, ResultCode
from tests.gateway.conftest import local_route
from tests.gateway.fake_ownership import FakeOwnership
from tests.gateway.gateway_fixture import GROUP, GatewayFixture
from tests.gateway.raw_caller import RawAnswer, RawCaller
from tests.gateway.scripted_server import (
    ScriptedConnection,
    ScriptedServer,
    SeenRequest,
)


async def async_freeze(connection: ScriptedConnection, request: SeenRequest) -> None:
    """Never answer, as a frozen target does."""
    await connection.async_wait_closed()


@pytest_asyncio.fixture
async def new_owner() -> AsyncIterator[ScriptedServer]:
    """Return the target that takes the slices over."""
    server = ScriptedServer()
    await server.async_setup()
    yield server
    await server.async_unload()


async def async_lose_target(
    gateway: GatewayFixture, frozen: ScriptedServer, call: asyncio.Task[RawAnswer]
) -> RawAnswer:
    """Declare the frozen target lost once the request is there."""
    await frozen.arrived.wait()
    gateway.groups.target_lost(GROUP, "t1")
    return await call


async def test_a_lookup_goes_on_to_the_new_owner(
    caller: RawCaller,
    gateway: GatewayFixture,
    ownership: FakeOwnership,
    target: ScriptedServer,
    new_owner: ScriptedServer,
) -> None:
    """Symptom: lookups wait for a frozen target until their deadlines.

    Events: a target freezes with a lookup in flight; its slices move.
    Cause: nobody tells the request that its target was given up.
    """
    target.script = async_freeze
    ownership.routes.append(local_route(new_owner.address))
    call = asyncio.create_task(caller.async_call("GET", "/desk/a"))
    answer = await async_lose_target(gateway, target, call)
    assert answer.result == ResultCode.ANSWERED
    assert (len(target.seen), len(new_owner.seen)) == (1, 1)


async def test_a_booking_is_unknown_at_once_and_not_sent_again(
    caller: RawCaller,
    gateway: GatewayFixture,
    ownership: FakeOwnership,
    target: ScriptedServer,
    new_owner: ScriptedServer,
) -> None:
    """Symptom: a booking runs at the old and the new owner.

    Events: a target freezes with a booking in flight; its slices move.
    Cause: sending again what may have run.
    """
    gateway.groups.group_acquired(GROUP, 4)
    target.script = async_freeze
    ownership.routes.append(local_route(new_owner.address))
    call = asyncio.create_task(
        caller.async_call(
            "POST", "/desk/bookings", headers="Idempotency-Key: b1\r\n", body=b"x"
        )
    )
    answer = await async_lose_target(gateway, target, call)
    assert answer.error["executed"] == Executed.UNKNOWN
    assert (len(target.seen), len(new_owner.seen)) == (1, 0)
