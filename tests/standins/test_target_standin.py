"""Tests of the stand-in target's control interface and grants over HTTP."""

from __future__ import annotations

import asyncio
from math import inf

import pytest

from swiftpin.ownership.group_id import GroupId
from swiftpin.standins.fence import Fence
from swiftpin.standins.target_options import TargetOptions
from swiftpin.standins.target_standin import TargetStandin
from tests.standins.event_log import EventLog
from tests.standins.target_caller import (
    LONG,
    SERVICE,
    TargetCaller,
    running_request,
    running_target,
)

STATUS_FIELDS = {
    "target",
    "boot_id",
    "clock",
    "slots",
    "busy",
    "queued",
    "connections",
    "draining",
    "cold",
    "checks_grants",
}


async def test_status_has_the_documented_fields(caller: TargetCaller) -> None:
    """The document has the fields of docs/protocols.md."""
    assert (await caller.async_status()).keys() == STATUS_FIELDS


async def test_granted_request_runs_and_others_are_refused(
    caller: TargetCaller,
) -> None:
    """The grant and the term are both looked at."""
    assert await caller.async_refusal() == "not-granted"
    await caller.async_own()
    assert await caller.async_refusal() is None
    assert await caller.async_refusal(term=1) == "stale-term"


async def test_fence_reports_the_slices_held(caller: TargetCaller) -> None:
    """A new holder learns slice, slice term and limit."""
    await caller.async_own()
    status, answer = await caller.async_fence(term=4, holder="i2/bb")
    assert status == 200
    assert [item[:2] for item in answer["slices"]] == [[7, 1]]


async def test_lower_fence_is_refused_with_the_known_one(caller: TargetCaller) -> None:
    """The loser learns who is followed."""
    await caller.async_fence(term=4, holder="i2/bb")
    status, answer = await caller.async_fence()
    assert status == 409
    assert (answer["term"], answer["holder"]) == (4, "i2/bb")


@pytest.mark.parametrize(
    "fields", [{"term": 1}, {"term": 3}, {"holder": "i2/bb"}, {"boot_id": "other"}]
)
async def test_grants_of_another_term_holder_or_boot_are_refused(
    target: TargetStandin, caller: TargetCaller, fields: dict[str, object]
) -> None:
    """Nothing is granted by a message that is not from the holder fenced."""
    await caller.async_fence()
    message = {"boot_id": target.boot_id, "grant": [[7, 1]], **fields}
    status, _ = await caller.async_grants(**message)  # type: ignore[arg-type]
    assert status == 409
    assert await caller.async_refusal() == "not-granted"


async def test_grants_to_an_unfenced_group_are_refused(
    target: TargetStandin, caller: TargetCaller
) -> None:
    """The fence comes first."""
    status, _ = await caller.async_grants(target.boot_id, grant=[[7, 1]])
    assert status == 409


async def test_revoke_waits_for_the_running_request(
    target: TargetStandin, caller: TargetCaller, event_log: EventLog
) -> None:
    """The answer comes once the execution has ended and the slice has left."""
    await caller.async_own()
    running = asyncio.create_task(caller.async_refusal(X_Work_Ms="100"))
    await event_log.async_wait("start")
    _, answer = await caller.async_grants(
        target.boot_id, revoke=[7], revoke_wait=60_000
    )
    assert answer["busy"] == []
    assert await running is None
    assert event_log.kinds()[-2:] == ["execute", "released"]


async def test_revoke_without_a_wait_tells_of_the_busy_slice(
    target: TargetStandin, caller: TargetCaller, event_log: EventLog
) -> None:
    """The slice is shut and still counted as held."""
    await caller.async_own()
    async with running_request(caller.keyed(**LONG)):
        await event_log.async_wait("start")
        _, answer = await caller.async_grants(target.boot_id, revoke=[7])
    assert (answer["held"], answer["busy"]) == (1, [7])


async def test_execution_whose_grant_lapsed_has_no_effect(
    target: TargetStandin, caller: TargetCaller, event_log: EventLog
) -> None:
    """A key's state changes under a second owner's feet.

    The execution starts, its grant lapses while it works, it goes on. Cause: the
    grant is looked at only before the work.
    """
    await caller.async_own()
    event_log.reactions_by_kind["start"] = lambda: target._boot.grants.lapse(inf)
    assert await caller.async_refusal() == "lapsed"
    event_log.reactions_by_kind.clear()
    async with caller.request("/x", method="GET", Swiftpin_Key="k") as response:
        assert (await response.json())["count"] == 0
    assert '"outcome":"lapsed"' in event_log.text()


async def test_execution_goes_on_when_another_holder_fences(
    target: TargetStandin, caller: TargetCaller, event_log: EventLog
) -> None:
    """Symptom: a planned hand-over cuts off requests in flight.

    An execution starts, the group's next holder fences, the execution ends while
    its grant is in force. Cause: taking a change of holder for a change of owner.
    """
    await caller.async_own()
    group = target._boot.grants.group(GroupId(service=SERVICE, group=0))
    fence = Fence(term=4, holder="i2/bb")
    event_log.reactions_by_kind["start"] = lambda: group.raise_fence(fence)
    async with caller.request("/x") as response:
        assert response.status == 201
    event_log.reactions_by_kind.clear()
    assert await caller.async_refusal() == "stale-term"


async def test_new_boot_has_no_grants_and_another_id(
    target: TargetStandin, caller: TargetCaller
) -> None:
    """What a target knew is lost at its end."""
    await caller.async_own()
    first_boot = target.boot_id
    await target.async_stop()
    await target.async_start()
    assert target.boot_id != first_boot
    status, _ = await caller.async_grants(first_boot, grant=[[7, 1]])
    assert status == 409


async def test_stop_releases_what_is_held(
    target: TargetStandin, caller: TargetCaller, event_log: EventLog
) -> None:
    """The trace closes the owner's interval."""
    await caller.async_own()
    await target.async_stop()
    assert event_log.kinds() == ["owned", "released"]


async def test_lying_health_hides_the_load(
    target: TargetStandin, caller: TargetCaller, event_log: EventLog
) -> None:
    """A lie touches the load only; boot id and clock stay true."""
    async with running_request(caller.request(**LONG)):
        await event_log.async_wait("start")
        truth = await caller.async_status()
        target.faults.health_lies = True
        lie = await caller.async_status()
    assert (truth["busy"], lie["busy"]) == (1, 0)
    assert lie["boot_id"] == target.boot_id


async def test_unchecked_target_ignores_grants_and_terms(
    event_log: EventLog,
) -> None:
    """It runs anybody's request and marks it so in the trace."""
    unchecked = TargetOptions(name="t1", work=0.0, unchecked=True)
    async with running_target(unchecked, event_log) as caller:
        assert await caller.async_refusal() is None
        assert not (await caller.async_status())["checks_grants"]
    assert '"unchecked":true' in event_log.text()
