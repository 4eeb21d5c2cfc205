"""Reads the groups' records of a cluster."""

from __future__ import annotations

from aiohttp import ClientSession

from swiftpin.bench.exceptions import BenchError
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.record_codec import decode_record
from swiftpin.store.client import StoreClient


async def async_read_record(
    session: ClientSession, store_url: str, group: GroupId
) -> GroupRecord:
    """Return the record of a group; raises `BenchError` when there is none."""
    item = await StoreClient(session, store_url).async_get(group.store_name)
    if item is None:
        raise BenchError(f"{group.store_name} is absent")
    return decode_record(item.body)


def holder_name(record: GroupRecord) -> str:
    """Return the name of the instance that holds the group."""
    return record.holder.partition("/")[0]


def busiest_target(record: GroupRecord) -> str:
    """Return the target that owns most slices of the group."""
    counts_by_target: dict[str, int] = {}
    for assignment in record.slices_by_id.values():
        count = counts_by_target.get(assignment.target, 0)
        counts_by_target[assignment.target] = count + 1
    return max(counts_by_target, key=lambda target: counts_by_target[target])
