"""Begins of leases."""

from __future__ import annotations

from collections.abc import Iterator

from spec.fenced.changes import done, with_holder, written
from spec.fenced.context import Context
from spec.fenced.holder import ACTIVE, GONE, IDLE, NOT_STARTED, Holder
from spec.fenced.lease_kind import LeaseKind
from spec.fenced.messages import Step
from spec.fenced.record import Record
from spec.fenced.target import OWNER
from spec.fenced.world import World

FIRST_RECORD = Record(
    lease=0, revision=0, owner=OWNER, slice_term=0, boot=0, starts_changed=0
)


def takeovers(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Begin a lease that has not begun."""
    if world.holders[lease].phase != NOT_STARTED:
        return
    match context.scope.leases[lease]:
        case LeaseKind.RESERVED:
            yield from _reserved(context, world, lease)
        case LeaseKind.STORED:
            yield from _stored(context, world, lease)
        case LeaseKind.RENEWED:
            yield from _renewed(context, world, lease)


def _reserved(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Take over without the store, from any record of the holder that was heard."""
    known = {FIRST_RECORD} if lease == 1 else set()
    if world.record.lease == lease - 1:
        known.add(world.record)
    for record in sorted(known):
        holder = _holder_from(context, lease, record)
        label = f"{lease} takes over without the store from revision {record.revision}"
        yield label, with_holder(world, lease, holder)


def _stored(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Take over by a conditional write; the store orders terms."""
    before = world.record
    if before.lease >= lease:
        return
    for boot in sorted({before.boot, world.boot}):
        kept = 0 if context.weakness.starts_change_unrecorded else before.starts_changed
        changes = max(kept, int(boot != before.boot))
        record = before._replace(
            lease=lease,
            revision=before.revision + 1,
            boot=boot,
            starts_changed=changes,
        )
        holder = _holder_from(context, lease, record)
        changed = done(written(world, before.revision, record), record.revision)
        yield f"{lease} takes over, start {boot}", with_holder(changed, lease, holder)


def _renewed(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Go on under the next even term, with what the holder decided meanwhile."""
    of = lease - 1
    old = world.holders[of]
    before = world.record
    stored = of - 1 if context.scope.leases[of] is LeaseKind.RESERVED else of
    if old.phase != ACTIVE or (before.lease, before.revision) != (stored, old.base):
        return
    kept = 0 if context.weakness.starts_change_forgotten else old.starts_changed
    for boot in sorted({old.boot, world.boot}):
        changes = max(kept, int(boot != old.boot))
        record = Record(
            lease, before.revision + 1, old.owner, old.slice_term, boot, changes
        )
        holder = _holder_from(context, lease, record)._replace(limit=max(old.limit, 0))
        changed = done(written(world, before.revision, record), record.revision)
        changed = with_holder(changed, of, GONE)
        yield f"{lease} renews {of}, start {boot}", with_holder(changed, lease, holder)


def _holder_from(context: Context, lease: int, record: Record) -> Holder:
    """Return a holder that knows nothing but the record."""
    changes = record.starts_changed
    if context.scope.leases[lease] is LeaseKind.RESERVED:
        changes = 0 if context.weakness.starts_change_unrecorded else changes
    return IDLE._replace(
        phase=ACTIVE,
        owner=record.owner,
        slice_term=record.slice_term,
        moves_left=context.scope.moves[lease],
        boot=record.boot,
        starts_changed=changes,
        base=record.revision,
    )
