"""Tests of `status`."""

from __future__ import annotations

from pathlib import Path

from aiohttp import ClientSession
import orjson
import pytest

from swiftpin.cli.exit_status import ExitStatus
from swiftpin.core import monotonic_now
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.record_codec import encode_record
from swiftpin.standins.instance_state import InstanceState
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.store.client import StoreClient
from tests.cli.conftest import RunCommand
from tests.cli.fake_instance import FakeInstance

RECORD = GroupRecord(
    id=GroupId(service="desk", group=0),
    term=4,
    revision=2,
    holder="brno-a-1/1f",
    successor="brno-b-1/2e",
    writer="w",
    reason="takeover",
    targets=frozenset({"desk-1"}),
)


async def put_record(store: StoreStandin, record: GroupRecord = RECORD) -> None:
    """Write the group's record."""
    async with ClientSession() as session:
        client = StoreClient(session, store.url)
        await client.async_put(record.id.store_name, encode_record(record))


@pytest.fixture
async def well(
    run: RunCommand, files: Path, store: StoreStandin, instance: FakeInstance
) -> FakeInstance:
    """Return the only instance of a system in which all is well."""
    await run("apply", "-f", files)
    await put_record(store)
    instance.generations = {"service/desk": 1, "profile/bookings": 1}
    instance.groups_held = [{"service": "desk", "group": 0, "term": 4}]
    return instance


@pytest.mark.usefixtures("well")
async def test_all_is_well(run: RunCommand) -> None:
    """Instances and services are shown, and the exit status is 0."""
    result = await run("status")
    assert result.err == ""
    assert result.status is ExitStatus.OK
    assert result.out.splitlines() == [
        "INSTANCE  ZONE  LISTED  ANSWER  IN FORCE  GROUPS HELD",
        "brno-a-1  a     live    ready   2/2       1",
        "",
        "SERVICE  PROFILE   GENERATION  GROUPS HELD  TARGETS  STOPPING",
        "desk     bookings  1           1/1          1        0",
    ]


@pytest.mark.usefixtures("well")
async def test_json_has_the_same(run: RunCommand) -> None:
    """Programs get counts as numbers."""
    report = orjson.loads((await run("status", "-o", "json")).out)
    assert report["instances"][0]["in_force"] == 2
    assert report["services"][0]["groups_held"] == 1
    assert report["problems"] == []


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"ready": False}, "instance brno-a-1: is not ready"),
        (
            {"generations": {"profile/bookings": 1}},
            "instance brno-a-1: service/desk is at generation 0, not 1",
        ),
        (
            {"groups_held": []},
            "service desk group 0: holder brno-a-1/1f does not say that it holds it",
        ),
        (
            {"groups_held": [{"service": "desk", "group": 0, "term": 2}]},
            "service desk group 0: holder brno-a-1/1f does not say that it holds it",
        ),
        ({"garbage": True}, "answered no status"),
    ],
)
async def test_what_is_not_well_is_named(
    run: RunCommand, well: FakeInstance, changes: dict[str, object], problem: str
) -> None:
    """One line says what is wrong, and the exit status is 1."""
    for name, value in changes.items():
        setattr(well, name, value)
    result = await run("status")
    assert result.status is ExitStatus.DEGRADED
    assert problem in result.err


async def test_two_holders_of_one_group(
    run: RunCommand, well: FakeInstance, instances: InstancesStandin
) -> None:
    """Symptom: two instances serve one key and status shows nothing.

    Sequence: a holder was paused and came back; its successor has taken over.
    Cause: trusting the record alone.
    """
    other = FakeInstance(name="brno-b-1", generations=well.generations)
    other.groups_held = [{"service": "desk", "group": 0, "term": 5}]
    await other.async_start()
    instances.change(other.listed(), monotonic_now())
    result = await run("status")
    await other.async_stop()
    assert "group 0: is held by brno-a-1/1f, brno-b-1/1f at once" in result.err


async def test_takeover_without_the_store_is_no_fault(
    run: RunCommand, well: FakeInstance
) -> None:
    """A holder of a higher term than the record's holds the group."""
    well.groups_held[0]["term"] = 5
    assert (await run("status")).status is ExitStatus.OK


async def test_instance_that_leaves_before_the_list_shows_it(
    run: RunCommand, well: FakeInstance
) -> None:
    """Symptom: every planned stop looks like a fault.

    Sequence: an instance begins its planned stop; the list still calls it live.
    Cause: believing the list, which lags, over the instance.
    """
    well.leaving, well.ready = True, False
    assert (await run("status")).status is ExitStatus.OK


async def test_stopped_instance_that_is_still_listed(
    run: RunCommand, well: FakeInstance, instances: InstancesStandin
) -> None:
    """Symptom: every planned stop ends in a fault.

    Sequence: an instance ends after its planned stop; the list still calls it live.
    Cause: expecting an answer from an instance that was ordered to stop.
    """
    other = FakeInstance(name="brno-b-1", generations=well.generations)
    await other.async_start()
    instances.change(other.listed(), monotonic_now())
    await run("stop", "plan", "--instance", "brno-b-1")
    well.generations = {**well.generations, "plannedstop/stop-brno-b-1": 1}
    await other.async_stop()
    assert (await run("status")).status is ExitStatus.OK


async def test_silent_instance(
    run: RunCommand, well: FakeInstance, instances: InstancesStandin
) -> None:
    """An instance that is live but silent degrades, one that leaves does not."""
    await well.async_stop()
    result = await run("status")
    assert "brno-a-1  a     live    silent  ?/2       0" in result.out
    assert result.status is ExitStatus.DEGRADED
    instances.change(well.listed(InstanceState.LEAVING), monotonic_now())
    assert "instance brno-a-1: " not in (await run("status")).err


@pytest.mark.usefixtures("well")
async def test_group_without_record_or_successor(
    run: RunCommand, store: StoreStandin
) -> None:
    """A group that the next loss would leave without a holder is named."""
    await put_record(
        store,
        GroupRecord(
            id=RECORD.id,
            term=4,
            revision=3,
            holder="brno-a-1/1f",
            successor=None,
            writer="w",
            reason="loss",
        ),
    )
    assert "group 0: has no successor" in (await run("status")).err
    async with ClientSession() as session:
        await StoreClient(session, store.url).async_put(RECORD.id.store_name, b"{}")
    result = await run("status")
    assert "group 0: has no holder yet" in result.err
    assert "groups/desk/0: not a group record" in result.err


@pytest.mark.usefixtures("well")
async def test_store_away(run: RunCommand, store: StoreStandin) -> None:
    """Symptom: operators see nothing at all during an outage of the store.

    Sequence: the store goes away; routing goes on.
    Cause: asking the store first and giving up.
    """
    store.faults.outage = True
    result = await run("status")
    assert result.status is ExitStatus.STORE_UNREACHABLE
    assert "brno-a-1  a     live    ready   ?/?       1" in result.out


@pytest.mark.usefixtures("well")
async def test_instance_list_away(run: RunCommand, instances: InstancesStandin) -> None:
    """Services are shown all the same, and no holder is called missing."""
    instances.faults.outage = True
    result = await run("status")
    assert result.status is ExitStatus.DEGRADED
    assert result.err.startswith("swiftpin: the instance list cannot be read")
    assert result.err.count("\n") == 1
    assert "desk     bookings" in result.out


@pytest.mark.usefixtures("well")
async def test_planned_stop_of_a_target_is_counted(run: RunCommand) -> None:
    """Status shows that a target is about to leave."""
    await run("stop", "plan", "--service", "desk", "--target", "desk-1")
    report = orjson.loads((await run("status", "-o", "json")).out)
    assert report["services"][0]["targets_stopping"] == 1
