"""Next versions of a group's record."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from uuid import uuid4

from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.placement.key_exception import KeyException
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.reported_owner import ReportedOwner
from swiftpin.ownership.rules import (
    first_slice_term,
    next_slice_term,
    next_store_term,
)
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


def with_reported_owners(
    record: GroupRecord, reports: Iterable[ReportedOwner]
) -> GroupRecord:
    """Return the record after targets reported slices under higher terms."""
    slices_by_id = dict(record.slices_by_id)
    for report in reports:
        slices_by_id[report.slice_id] = replace(
            slices_by_id[report.slice_id], target=report.target, term=report.term
        )
    return replace(record, slices_by_id=slices_by_id)


def with_raised_terms(record: GroupRecord, slices: Iterable[int]) -> GroupRecord:
    """Return the record with slice terms above all that earlier holders gave.

    An earlier holder may have moved such a slice without the store, and its grant
    has ended since; the target that it went to would refuse a lower slice term.
    """
    slices_by_id = dict(record.slices_by_id)
    for slice_id in slices:
        before = slices_by_id[slice_id]
        slices_by_id[slice_id] = replace(
            before, term=max(before.term, first_slice_term(record.term))
        )
    return replace(record, slices_by_id=slices_by_id)


def with_newer_slices(record: GroupRecord, other: GroupRecord) -> GroupRecord:
    """Return the record with the assignments of `other` that have higher terms."""
    slices_by_id = dict(record.slices_by_id)
    for slice_id, assignment in other.slices_by_id.items():
        known = slices_by_id.get(slice_id)
        if known is None or known.term < assignment.term:
            slices_by_id[slice_id] = assignment
    return replace(
        record,
        slices_by_id=slices_by_id,
        exceptions_by_key={**record.exceptions_by_key, **other.exceptions_by_key},
    )


def with_lease(
    record: GroupRecord,
    *,
    holder: str,
    successor: str | None,
    writer: str,
    reason: str,
    targets: frozenset[str] | None = None,
    boots_by_target: Mapping[str, str] | None = None,
) -> GroupRecord:
    """Return the record under the next term that the store orders.

    `targets` and `boots_by_target` stay as they are unless given.
    """
    targets = record.targets if targets is None else targets
    boots = record.boots_by_target if boots_by_target is None else boots_by_target
    changed = any(
        boots.get(target) != boot for target, boot in record.boots_by_target.items()
    )
    return replace(
        record,
        term=next_store_term(record.term),
        revision=0,
        holder=holder,
        successor=successor,
        writer=writer,
        reason=reason,
        targets=targets,
        boots_by_target={
            target: boot for target, boot in boots.items() if target in targets
        },
        starts_changed=record.starts_changed or changed,
    )
