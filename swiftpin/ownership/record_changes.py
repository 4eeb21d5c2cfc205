"""Next versions of a group's record."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from uuid import uuid4

from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.placement.key_exception import KeyException
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.rules import next_slice_term, next_store_term
from swiftpin.ownership.slice_assignment import SliceAssignment


def new_writer(instance_id: str) -> str:
    """Return an id by which one write is recognised when it is read back."""
    return f"{instance_id}:{uuid4().hex}"


def with_moves(record: GroupRecord, moves: Iterable[Move]) -> GroupRecord:
    """Return the record after slices moved to new owners."""
    slices_by_id = dict(record.slices_by_id)
    for move in moves:
        before = slices_by_id[move.slice_id]
        slices_by_id[move.slice_id] = SliceAssignment(
            target=move.destination,
            term=next_slice_term(before.term, record.term),
            standby=move.standby,
        )
    return replace(record, slices_by_id=slices_by_id)


def with_split(record: GroupRecord, exception: KeyException) -> GroupRecord:
    """Return the record with a slice for one key, owned by its home's owner."""
    home = record.slices_by_id[exception.home]
    slices_by_id = {**record.slices_by_id, exception.slice_id: home}
    exceptions_by_key = {**record.exceptions_by_key, exception.key: exception}
    return replace(
        record, slices_by_id=slices_by_id, exceptions_by_key=exceptions_by_key
    )


def with_merge(record: GroupRecord, exception: KeyException) -> GroupRecord:
    """Return the record without the slice of one key."""
    slices_by_id = dict(record.slices_by_id)
    del slices_by_id[exception.slice_id]
    exceptions_by_key = dict(record.exceptions_by_key)
    del exceptions_by_key[exception.key]
    return replace(
        record, slices_by_id=slices_by_id, exceptions_by_key=exceptions_by_key
    )


def with_reported_owner(
    record: GroupRecord, slice_id: int, owner: str, slice_term: int
) -> GroupRecord:
    """Return the record after a target reported a slice under a higher term."""
    slices_by_id = dict(record.slices_by_id)
    before = slices_by_id[slice_id]
    slices_by_id[slice_id] = replace(before, target=owner, term=slice_term)
    return replace(record, slices_by_id=slices_by_id)


def with_lease(
    record: GroupRecord,
    *,
    holder: str,
    successor: str | None,
    writer: str,
    reason: str,
) -> GroupRecord:
    """Return the record under the next term that the store orders."""
    return replace(
        record,
        term=next_store_term(record.term),
        revision=0,
        holder=holder,
        successor=successor,
        writer=writer,
        reason=reason,
    )
