"""Tests of callers' requests at a stand-in target."""

from __future__ import annotations

from collections.abc import Awaitable

from aiohttp import ClientError, ClientPayloadError
import pytest

from swiftpin.bench.processes.polling import async_poll
from swiftpin.standins.target_standin import TargetStandin
from swiftpin.trace.digest import body_digest
from swiftpin.trace.execute_event import ExecuteEvent
from tests.standins.event_log import EventLog
from tests.standins.target_caller import (
    LONG,
    RequestContext,
    TargetCaller,
    running_request,
)


async def _async_refusal(request: RequestContext) -> tuple[int, str | None]:
    """Send a request and return its status and why it was refused, if it was."""
    async with request as response:
        await response.read()
        return response.status, response.headers.get("Target-Refusal")


async def _async_fails(call: Awaitable[object]) -> None:
    """Expect the connection to end without an answer."""
    with pytest.raises(ClientError):
        await call


async def test_execution_appends_to_its_key(caller: TargetCaller) -> None:
    """A later lookup shows who wrote what."""
    write = caller.request(Swiftpin_Key="k", Idempotency_Key="once")
    assert await _async_refusal(write) == (201, None)
    async with caller.request(method="GET", Swiftpin_Key="k") as response:
        state = await response.json()
    assert state["count"] == 1
    assert state["entries"] == [
        {
            "request_id": "r1",
            "idempotency_key": "once",
            "body_digest": body_digest(b""),
        }
    ]


async def test_answer_names_request_target_and_digest(
    caller: TargetCaller, event_log: EventLog
) -> None:
    """The trace and the header have the digest of the bytes sent."""
    async with caller.request() as response:
        digest = body_digest(await response.read())
        headers = response.headers
    assert headers["Swiftpin-Request-Id"] == "r1"
    assert headers["Target-Name"] == "t1"
    assert headers["X-Body-Digest"] == digest
    end = event_log.events[-1]
    assert isinstance(end, ExecuteEvent)
    assert end.body_digest == digest


async def test_request_beyond_the_connections_is_shed(
    caller: TargetCaller, event_log: EventLog, target: TargetStandin
) -> None:
    """One slot is busy and one request waits; there is no third place."""
    async with running_request(caller.request(**LONG)):
        await event_log.async_wait("start")
        async with running_request(caller.request(**LONG)):
            await async_poll(lambda: target._boot.slots.queued == 1, 10)
            assert await _async_refusal(caller.request()) == (503, "shed")


async def test_queued_request_is_refused_at_its_deadline(
    caller: TargetCaller, event_log: EventLog
) -> None:
    """It did not start in time, so it certainly was not executed."""
    async with running_request(caller.request(**LONG)):
        await event_log.async_wait("start")
        late = caller.request(Swiftpin_Timeout="20")
        assert await _async_refusal(late) == (504, "deadline")
    assert event_log.kinds().count("start") == 1


async def test_running_request_is_aborted_at_its_deadline(
    caller: TargetCaller, event_log: EventLog
) -> None:
    """It had started, so the answer does not call it refused."""
    late = caller.request(Swiftpin_Timeout="20", X_Work_Ms="60000")
    assert await _async_refusal(late) == (504, None)
    assert '"outcome":"aborted"' in event_log.text()


async def test_queued_request_of_a_caller_who_left_never_runs(
    caller: TargetCaller, event_log: EventLog, target: TargetStandin
) -> None:
    """Hanging up cancels what has not started."""
    async with running_request(caller.request(**LONG)):
        await event_log.async_wait("start")
        async with running_request(caller.request(**LONG)):
            await async_poll(lambda: target._boot.slots.queued == 1, 10)
        await async_poll(lambda: target._boot.slots.queued == 0, 10)
    await event_log.async_wait("execute")
    assert event_log.kinds() == ["start", "execute"]


async def test_running_request_completes_after_its_caller_left(
    caller: TargetCaller, event_log: EventLog
) -> None:
    """A caller who left sees no answer, and the execution took effect.

    The caller hangs up in the middle of the work. Cause: most targets finish what
    they began, so a broken connection says nothing about the execution.
    """
    async with running_request(caller.request(X_Work_Ms="100")):
        await event_log.async_wait("start")
    await event_log.async_wait("execute")
    assert '"outcome":"done","body_digest":null' in event_log.text()


async def test_abortable_request_ends_when_its_caller_leaves(
    caller: TargetCaller, event_log: EventLog
) -> None:
    """Cancellation is honoured where the request allows it."""
    async with running_request(caller.request(**LONG)):
        await event_log.async_wait("start")
    await event_log.async_wait("execute")
    assert '"outcome":"aborted"' in event_log.text()


@pytest.mark.parametrize(
    ("fault", "refusal"), [("drain", "draining"), ("shed", "shed")]
)
async def test_fault_refuses_requests(
    target: TargetStandin, caller: TargetCaller, fault: str, refusal: str
) -> None:
    """Refused requests leave no execution behind."""
    setattr(target.faults, fault, True)
    assert await _async_refusal(caller.request()) == (503, refusal)


async def test_draining_target_serves_during_its_grace(
    target: TargetStandin, caller: TargetCaller
) -> None:
    """The status says so before requests are refused."""
    target.faults.drain = True
    target.faults.drain_grace_ms = 60_000
    assert (await caller.async_status())["draining"]
    assert await _async_refusal(caller.request()) == (201, None)


async def test_request_dropped_before_never_runs(
    target: TargetStandin, caller: TargetCaller, event_log: EventLog
) -> None:
    """The connection ends and nothing was executed."""
    target.faults.drop_before_next = 1
    await _async_fails(_async_refusal(caller.request()))
    assert event_log.kinds() == []


async def test_dropped_answer_belongs_to_an_execution(
    target: TargetStandin, caller: TargetCaller, event_log: EventLog
) -> None:
    """The connection ends and the request was executed."""
    target.faults.drop_answer_next = 1
    await _async_fails(_async_refusal(caller.request()))
    assert '"outcome":"done","body_digest":null' in event_log.text()


@pytest.mark.parametrize("path", ["/x", "/bundle/1000000"])
async def test_cut_answer_is_shorter_than_stated(
    target: TargetStandin, caller: TargetCaller, event_log: EventLog, path: str
) -> None:
    """The head promises a length that never comes."""
    target.faults.cut_answer_next = 1
    async with caller.request(path, method="GET") as response:
        assert response.status == 200
        with pytest.raises(ClientPayloadError):
            await response.read()
    assert '"outcome":"done","body_digest":null' in event_log.text()


async def test_crash_leaves_a_start_without_an_end(
    target: TargetStandin, caller: TargetCaller, event_log: EventLog
) -> None:
    """The request that kills the target, and the slices it held, show in the trace."""
    await caller.async_own()
    await _async_fails(_async_refusal(caller.keyed(X_Crash="1")))
    await _async_fails(caller.async_status())
    assert event_log.kinds() == ["owned", "start", "released"]


async def test_killed_target_starts_again_on_its_port(
    target: TargetStandin, caller: TargetCaller
) -> None:
    """What a kill leaves is freed by a stop."""
    target.kill()
    await target.async_stop()
    await target.async_start()
    assert (await caller.async_status())["boot_id"] == target.boot_id


async def test_bundle_range_is_a_part_of_the_whole(
    caller: TargetCaller, event_log: EventLog
) -> None:
    """Ranges allow a download to go on where it broke off."""
    async with caller.request("/bundle/200000", method="GET") as response:
        whole = await response.read()
    part = caller.request("/bundle/200000", method="GET", Range="bytes=150000-")
    async with part as response:
        assert response.status == 206
        assert response.headers["Content-Range"] == "bytes 150000-199999/200000"
        assert await response.read() == whole[150000:]
    digests = [e.body_digest for e in event_log.events if isinstance(e, ExecuteEvent)]
    assert digests == [body_digest(whole), body_digest(whole[150000:])]
    assert len(whole) == 200000


async def test_malformed_number_in_a_header_is_an_error(caller: TargetCaller) -> None:
    """A gateway's mistake shows as 400."""
    assert await _async_refusal(caller.request(Swiftpin_Timeout="soon")) == (400, None)
