"""What callers are told of requests that were tried more than once."""

from __future__ import annotations

from swiftpin.result import Executed, ResultCode
from tests.gateway.fake_ownership import FakeOwnership
from tests.gateway.raw_caller import RawCaller
from tests.gateway.scripted_server import (
    ScriptedConnection,
    ScriptedServer,
    SeenRequest,
)


async def test_a_refused_retry_does_not_deny_an_earlier_attempt(
    caller: RawCaller, ownership: FakeOwnership, target: ScriptedServer
) -> None:
    """Symptom: a caller is told "not run" of a lookup that a target had run.

    Events: the first attempt runs and its answer is lost; each retry finds no
    connection, which alone would be "not run".
    Cause: answering with what the last attempt knows. Seen in `swiftpin-bench
    failover`, scenario "kill gateway", as 305 with executed=no.
    """

    async def async_run_and_die(
        connection: ScriptedConnection, request: SeenRequest
    ) -> None:
        target.stop_listening()
        connection.reset()

    target.script = async_run_and_die
    answer = await caller.async_call("GET", "/desk/a")
    assert len(target.seen) == 1
    assert answer.result == ResultCode.ATTEMPT_NOT_RUN
    assert answer.error["executed"] == Executed.UNKNOWN
