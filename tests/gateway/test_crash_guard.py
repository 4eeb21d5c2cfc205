"""Requests that crash the targets that run them."""

from __future__ import annotations

import asyncio

from swiftpin.result import ResultCode
from tests.gateway.gateway_fixture import GatewayFixture
from tests.gateway.raw_caller import RawAnswer, RawCaller
from tests.gateway.scripted_server import (
    ScriptedConnection,
    ScriptedServer,
    SeenRequest,
    async_answer_ok,
)

PATIENCE = 10.0


def crash_on(path: str, target: ScriptedServer) -> None:
    """Let the target die, and start anew, at each request for the path."""

    async def async_script(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        if request.path != path:
            await async_answer_ok(connection, request)
            return
        target.boot_id += "x"
        connection.reset()

    target.script = async_script


async def async_crash(
    caller: RawCaller, gateway: GatewayFixture, deaths: int
) -> RawAnswer:
    """Send the bad request as work that is not retried; wait for the death's note."""
    noted = asyncio.Event()
    on_death = gateway.lives.on_death

    def note(*arguments: object) -> None:
        on_death(*arguments)  # type: ignore[arg-type]
        noted.set()

    gateway.lives.on_death = note
    answer = await caller.async_call(
        "PUT", "/desk/once/bad", headers=f"Idempotency-Key: b{deaths}\r\n", body=b"x"
    )
    await asyncio.wait_for(noted.wait(), PATIENCE)
    gateway.lives.on_death = on_death
    return answer


async def test_request_that_crashed_targets_twice_is_refused(
    caller: RawCaller, gateway: GatewayFixture, target: ScriptedServer
) -> None:
    """Symptom: one request takes down each target that it reaches.

    Its caller never gives up, so it comes again after each crash. Suspected after
    the first death, it runs alone; after the second it is refused. Others go on.
    """
    crash_on("/once/bad", target)
    assert (await caller.async_call()).result == ResultCode.ANSWERED
    first = await async_crash(caller, gateway, 1)
    assert first.result == ResultCode.ANSWER_LOST
    assert (await async_crash(caller, gateway, 2)).result == ResultCode.ANSWER_LOST
    seen = len(target.seen)
    third = await caller.async_call(
        "PUT", "/desk/once/bad", headers="Idempotency-Key: b3\r\n", body=b"x"
    )
    assert (third.status, third.result) == (422, ResultCode.QUARANTINED)
    assert third.error["executed"] == "no"
    assert len(target.seen) == seen
    assert (await caller.async_call()).result == ResultCode.ANSWERED


async def test_suspicion_reaches_the_next_holder(
    caller: RawCaller, gateway: GatewayFixture, target: ScriptedServer
) -> None:
    """What one instance suspects, another one learns from the store."""
    crash_on("/once/bad", target)
    assert (await caller.async_call()).result == ResultCode.ANSWERED
    await async_crash(caller, gateway, 1)
    await gateway.crashes.async_sync_suspicions()
    assert "quarantine/desk" in gateway.store.objects_by_name


async def test_lost_answer_alone_is_no_death(
    caller: RawCaller, gateway: GatewayFixture, target: ScriptedServer
) -> None:
    """A connection that broke under a target that lives accuses nobody."""

    async def async_reset(connection: ScriptedConnection, request: SeenRequest) -> None:
        connection.reset()

    assert (await caller.async_call()).result == ResultCode.ANSWERED
    target.script = async_reset
    await caller.async_call()
    for look in list(gateway.lives._looks_by_name.values()):
        await look
    (quarantine,) = gateway.crashes._quarantines_by_service.values()
    assert not quarantine.entries
