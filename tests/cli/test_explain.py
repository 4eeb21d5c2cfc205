"""Tests of `explain`."""

from __future__ import annotations

from pathlib import Path

from aiohttp import ClientSession
import pytest
import yaml

from swiftpin.cli.exit_status import ExitStatus
from swiftpin.helpers.hashing import slice_of
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.placement.key_exception import KeyException
from swiftpin.ownership.record_codec import encode_record
from swiftpin.ownership.slice_assignment import SliceAssignment
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.store.client import StoreClient
from tests.cli.conftest import RunCommand
from tests.cli.fake_instance import FakeInstance

KEY = "line-7"
SLICE = slice_of("desk", KEY, 8)


async def put_record(
    store: StoreStandin,
    slices: dict[int, SliceAssignment],
    *exceptions: KeyException,
) -> None:
    """Write the record of the service's only group."""
    record = GroupRecord(
        id=GroupId(service="desk", group=0),
        term=4,
        revision=2,
        holder="brno-a-1/1f",
        successor="brno-b-1/2e",
        writer="w",
        reason="takeover",
        slices_by_id=slices,
        exceptions_by_key={item.key: item for item in exceptions},
    )
    async with ClientSession() as session:
        client = StoreClient(session, store.url)
        await client.async_put(record.id.store_name, encode_record(record))


@pytest.fixture(autouse=True)
async def applied(run: RunCommand, files: Path) -> None:
    """Put the service in force."""
    await run("apply", "-f", files)


async def test_key_with_an_owner(
    run: RunCommand, store: StoreStandin, instance: FakeInstance
) -> None:
    """The way from key to target is shown, and what the holder says."""
    assignment = SliceAssignment(target="desk-1", term=9, standby=None)
    await put_record(store, {SLICE: assignment})
    instance.explains = {"owner": "desk-1"}
    result = await run("explain", "desk", KEY, "--method", "post")
    shown = yaml.safe_load(result.out)
    assert result.status is ExitStatus.OK
    assert shown["slice_id"] == SLICE
    assert shown["owner"] == "desk-1"
    assert shown["owner_address"] == "127.0.0.1:18101"
    assert (shown["term"], shown["slice_term"]) == (4, 9)
    assert shown["successor"] == "brno-b-1/2e"
    assert (shown["request_class"], shown["repeatable"]) == ("default-other", False)
    assert shown["instance"] == "brno-a-1"
    assert shown["instance_says"] == {"service": "desk", "key": KEY, "owner": "desk-1"}
    assert "takeover" in shown["why"][2]


async def test_hot_key_with_a_slice_of_its_own(
    run: RunCommand, store: StoreStandin
) -> None:
    """Symptom: explain names a target that does not serve the key.

    Sequence: a hot key was split out of its slice; then an operator asks for it.
    Cause: going by the hash alone.
    """
    slices = {
        SLICE: SliceAssignment(target="desk-9", term=1),
        8: SliceAssignment(target="desk-1", term=9),
    }
    await put_record(store, slices, KeyException(key=KEY, slice_id=8, home=SLICE))
    shown = yaml.safe_load((await run("explain", "desk", KEY)).out)
    assert (shown["slice_id"], shown["owner"]) == (8, "desk-1")
    assert "slice 8" in shown["why"][2]


async def test_error_of_the_instance_is_an_explanation(
    run: RunCommand, instance: FakeInstance
) -> None:
    """Why an instance finds no owner is shown as it says it."""
    instance.explains = {"name": "NO_OWNER", "hint": "the holder is unknown"}
    instance.explain_status = 503
    shown = yaml.safe_load((await run("explain", "desk", KEY)).out)
    assert shown["instance_says"]["hint"] == "the holder is unknown"


async def test_instance_that_says_nothing(
    run: RunCommand, store: StoreStandin, instance: FakeInstance
) -> None:
    """The record is explained all the same."""
    assignment = SliceAssignment(target="desk-9", term=9, standby=None)
    await put_record(store, {SLICE: assignment})
    result = await run("explain", "desk", KEY)
    assert f"instance {instance.name}: http" in result.err
    assert "no longer declares" in result.out


async def test_key_without_an_owner(run: RunCommand, store: StoreStandin) -> None:
    """Why a key is not served is said in words."""
    result = await run("explain", "desk", KEY)
    assert "the group has no record" in result.out
    await put_record(store, {})
    result = await run("explain", "desk", KEY)
    assert "the record names no owner of the slice" in result.out


async def test_service_without_keys(run: RunCommand, files: Path) -> None:
    """Any target may serve it."""
    path = files / "vault.yaml"
    text = (files / "service.yaml").read_text(encoding="utf-8")
    text = text.replace("name: desk", "name: vault").replace("true", "false")
    path.write_text(text, encoding="utf-8")
    await run("apply", "-f", path)
    result = await run("explain", "vault", KEY)
    assert "vault is not keyed: any of its 1 targets" in result.out


@pytest.mark.usefixtures("instance")
@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["dsk", KEY], "there is no service dsk; did you mean desk?"),
        (
            ["desk", KEY, "--instance", "brno-a-2"],
            "no instance brno-a-2 is listed; did you mean brno-a-1?",
        ),
    ],
)
async def test_unknown_names(
    run: RunCommand, arguments: list[str], message: str
) -> None:
    """The nearest names are offered."""
    result = await run("explain", *arguments)
    assert result.status is ExitStatus.WRONG_USE
    assert message in result.err
