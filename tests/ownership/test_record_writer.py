"""Writes of group records whose answers get lost."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import replace

from aiohttp import ClientSession
import pytest

from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.placement.key_exception import KeyException
from swiftpin.ownership.record_codec import decode_record, encode_record
from swiftpin.ownership.record_writer import RecordWriter
from swiftpin.ownership.slice_assignment import SliceAssignment
from swiftpin.ownership.write_result import WriteDone, WriteLost, WriteUnsettled
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.store.client import ABSENT, StoreClient

GROUP = GroupId(service="desk", group=3)
FIRST = GroupRecord(
    id=GROUP,
    term=2,
    revision=0,
    holder="i1/x",
    successor=None,
    writer="i1:1",
    reason="created",
    targets=frozenset({"a", "b"}),
    slices_by_id={3: SliceAssignment(target="a", term=1, standby="b")},
    exceptions_by_key={"k": KeyException(key="k", slice_id=4099, home=3)},
)


@pytest.fixture
async def store() -> AsyncIterator[StoreStandin]:
    """Yield a running store."""
    standin = StoreStandin()
    await standin.async_start()
    yield standin
    await standin.async_stop()


@pytest.fixture
async def client(store: StoreStandin) -> AsyncIterator[StoreClient]:
    """Yield a client with short time limits."""
    async with ClientSession() as session:
        yield StoreClient(session, f"http://{store.address}", timeout=0.2)


@pytest.fixture
def writer(client: StoreClient) -> RecordWriter:
    """Return a writer of a record that does not exist yet."""
    return RecordWriter(client, GROUP, ABSENT)


def test_a_record_survives_its_stored_form() -> None:
    """Every field comes back."""
    assert decode_record(encode_record(FIRST)) == FIRST


async def test_a_lost_answer_is_settled_by_reading_back(
    store: StoreStandin, writer: RecordWriter
) -> None:
    """Symptom: a holder gives its lease up after its own write.

    Events: the write takes effect, the answer is lost.
    Cause: not looking whose version the store has.
    """
    store.faults.lose_answer_next = 1
    result = await writer.async_write(FIRST)
    assert result == WriteDone(record=FIRST)


async def test_another_writer_wins(client: StoreClient, writer: RecordWriter) -> None:
    """The loser learns the record that is in force."""
    other = replace(FIRST, holder="i2/x", writer="i2:1")
    await RecordWriter(client, GROUP, ABSENT).async_write(other)
    assert await writer.async_write(FIRST) == WriteLost(record=other)


async def test_a_late_effect_is_recognised_as_ours(
    store: StoreStandin, client: StoreClient, writer: RecordWriter
) -> None:
    """Symptom: a holder takes its own delayed write for another's takeover.

    Events: a write times out while the store hangs and takes effect only after it
    was read back; the next write meets it.
    Cause: forgetting a write that could not be settled.
    """
    store.faults.outage = True
    assert isinstance(await writer.async_write(FIRST), WriteUnsettled)
    store.faults.outage = False
    await client.async_put(GROUP.store_name, encode_record(FIRST), expect=ABSENT)
    second = replace(FIRST, revision=1, writer="i1:2")
    assert await writer.async_write(second) == WriteDone(record=FIRST)
    assert await writer.async_write(second) == WriteDone(record=second)


async def test_a_takeover_without_the_store_finds_its_base(
    client: StoreClient, writer: RecordWriter
) -> None:
    """A writer without a version builds only on the record that it knew."""
    await writer.async_write(FIRST)
    later = RecordWriter(client, GROUP, None, base_writer=FIRST.writer)
    taken = replace(FIRST, term=4, holder="i2/x", writer="i2:1")
    assert await later.async_write(taken) == WriteDone(record=taken)
    stale = RecordWriter(client, GROUP, None, base_writer=FIRST.writer)
    result = await stale.async_write(replace(taken, writer="i3:1"))
    assert result == WriteLost(record=taken)
