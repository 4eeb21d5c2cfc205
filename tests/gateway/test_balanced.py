"""Services whose targets own no keys."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest_asyncio

from swiftpin.config.catalog import Catalog
from swiftpin.config.planned_stop import PlannedStop
from swiftpin.config.service import Service
from swiftpin.config.target_spec import TargetSpec
from swiftpin.result import ResultCode
from tests.gateway.gateway_fixture import GatewayFixture
from tests.gateway.raw_caller import RawCaller
from tests.gateway.scripted_server import (
    ScriptedConnection,
    ScriptedServer,
    SeenRequest,
)


@pytest_asyncio.fixture
async def vault(catalog: Catalog) -> AsyncIterator[list[ScriptedServer]]:
    """Return the targets t0 and t1 of a service without keys."""
    servers = [ScriptedServer(), ScriptedServer()]
    for server in servers:
        await server.async_setup()
    catalog._services_by_name["vault"] = Service(
        name="vault",
        profile="desk",
        keyed=False,
        targets_by_id={
            f"t{number}": TargetSpec(id=f"t{number}", address=server.address, zone="a")
            for number, server in enumerate(servers)
        },
    )
    yield servers
    for server in servers:
        await server.async_unload()


async def test_any_target_serves(
    caller: RawCaller, vault: list[ScriptedServer], gateway: GatewayFixture
) -> None:
    """Requests need no key, carry no slice and are spread over the targets."""
    for _ in range(20):
        answer = await caller.async_call(path="/vault/a", key=None)
        assert answer.result == ResultCode.ANSWERED
    seen = [request for server in vault for request in server.seen]
    assert all(server.seen for server in vault)
    assert len(seen) == 20
    for name in ("swiftpin-slice", "swiftpin-term", "swiftpin-holder", "swiftpin-key"):
        assert name not in seen[0].headers_by_name
    assert "reason=balanced" in gateway.lines[-1]


async def test_other_target_serves_when_one_takes_no_connection(
    caller: RawCaller, vault: list[ScriptedServer]
) -> None:
    """A target that is down costs a retry, not the request."""
    vault[0].stop_listening()
    for _ in range(6):
        answer = await caller.async_call(path="/vault/a", key=None)
        assert answer.result == ResultCode.ANSWERED


async def test_other_target_serves_when_one_refuses(
    caller: RawCaller, vault: list[ScriptedServer]
) -> None:
    """A target that drains costs a retry, not the request."""

    async def async_refuse(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        await connection.async_answer(
            status="503 Leaving", headers="Target-Refusal: draining\r\n"
        )

    vault[1].script = async_refuse
    for _ in range(6):
        answer = await caller.async_call(path="/vault/a", key=None)
        assert answer.result == ResultCode.ANSWERED


async def test_leaving_target_gets_no_new_work(
    caller: RawCaller, vault: list[ScriptedServer], catalog: Catalog
) -> None:
    """A planned stop takes a target out at once."""
    catalog._planned_stops_by_name["s"] = PlannedStop(
        name="s", service="vault", target="t0"
    )
    for _ in range(6):
        await caller.async_call(path="/vault/a", key=None)
    assert not vault[0].seen


async def test_all_targets_down_is_not_run(
    caller: RawCaller, vault: list[ScriptedServer]
) -> None:
    """Without any target the request is refused as not run."""
    for server in vault:
        server.stop_listening()
    answer = await caller.async_call(path="/vault/a", key=None)
    assert answer.result == ResultCode.TARGET_UNREACHABLE
    assert answer.error["executed"] == "no"


async def test_lost_answer_is_unknown_when_the_retry_is_refused(
    caller: RawCaller, vault: list[ScriptedServer]
) -> None:
    """Symptom: a caller is told "not run" of a download that a target served.

    The first target runs the request and its answer is lost; the second one refuses
    it. Only the second attempt is known not to have run.
    """
    for server in vault:

        async def async_script(
            connection: ScriptedConnection, request: SeenRequest
        ) -> None:
            if sum(len(server.seen) for server in vault) == 1:
                connection.reset()
                return
            await connection.async_answer(
                status="503 Leaving", headers="Target-Refusal: draining\r\n"
            )

        server.script = async_script
    answer = await caller.async_call(path="/vault/a", key=None)
    assert answer.result == ResultCode.ATTEMPT_NOT_RUN
    assert answer.error["executed"] == "unknown"


async def test_work_that_must_not_run_twice_is_refused(
    caller: RawCaller, vault: list[ScriptedServer]
) -> None:
    """Nobody could tell a resend apart, so such work is refused."""
    answer = await caller.async_call(
        "POST", "/vault/bookings", key=None, headers="Idempotency-Key: b\r\n", body=b"x"
    )
    assert (answer.status, answer.result) == (501, ResultCode.ONCE_NOT_SUPPORTED)
    assert answer.error["executed"] == "no"
    assert not vault[0].seen
    assert not vault[1].seen
