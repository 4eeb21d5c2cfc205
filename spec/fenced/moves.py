"""Moves of the slice between targets, and their writes."""

from __future__ import annotations

from collections.abc import Iterator

from spec.fenced import rules
from spec.fenced.changes import (
    acknowledged,
    done,
    with_holder,
    with_target,
    written,
)
from spec.fenced.context import Context
from spec.fenced.holder import GONE, Holder
from spec.fenced.messages import Step, may_send
from spec.fenced.pending_write import PendingWrite
from spec.fenced.record import Record
from spec.fenced.target import NAMES, Target
from spec.fenced.world import World

REVOKED = 1
WRITE_UNKNOWN = 2
LANDED = 3


def loss_moves(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Move the slice of a lost target, written or, without the store, not."""
    holder = world.holders[lease]
    if not holder.moves_left or holder.revoked or not may_send(context, holder):
        return
    if not rules.lapsed(holder, context.weakness):
        return
    moved = _moved(context, _one_move_less(holder), lease)
    label = f"{lease} moves {NAMES[holder.owner]} to {NAMES[moved.owner]} as lost"
    yield f"{label}, unsaved", with_holder(world, lease, moved)
    if _may_write(context, world, lease, holder):
        yield f"{label}, saved", _saved(world, lease, moved)


def _moved(context: Context, holder: Holder, lease: int) -> Holder:
    """Return the holder after it decided to move the slice to the other owner."""
    term = holder.slice_term
    if not context.weakness.slice_term_kept:
        term = rules.slice_terms_grow(term, lease)
    return holder._replace(
        owner=1 - holder.owner,
        slice_term=term,
        served=1,
        revoked=0,
    )


def _one_move_less(holder: Holder) -> Holder:
    """Return the holder after it began one of the moves that it may make."""
    return holder._replace(moves_left=holder.moves_left - 1)


def _may_write(context: Context, world: World, lease: int, holder: Holder) -> bool:
    """Return whether the store would carry out a conditional write."""
    if context.weakness.unconditional_write:
        return True
    return world.record.lease == lease and world.record.revision == holder.base


def _record_of(world: World, lease: int, holder: Holder) -> Record:
    """Return the record that the holder would write."""
    return Record(
        lease,
        holder.base + 1,
        holder.owner,
        holder.slice_term,
        holder.boot,
        holder.starts_changed,
    )


def _saved(world: World, lease: int, holder: Holder) -> World:
    """Return the world after the holder's record was written and acknowledged."""
    record = _record_of(world, lease, holder)
    changed = done(written(world, holder.base, record), record.revision)
    return with_holder(changed, lease, holder._replace(base=record.revision))


def saves(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Write what was decided while the store was away."""
    holder = world.holders[lease]
    if holder.revoked or not _may_write(context, world, lease, holder):
        return
    if (holder.owner, holder.slice_term) != world.record[2:4]:
        yield f"{lease} saves", _saved(world, lease, holder)


def settles(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Write that all grants from before a change of the named start have ended."""
    holder = world.holders[lease]
    if not holder.starts_changed or not may_send(context, holder):
        return
    if holder.revoked or not _may_write(context, world, lease, holder):
        return
    if rules.predecessors_lapsed(holder, context.weakness):
        after = holder._replace(starts_changed=0)
        yield f"{lease} settles the starts", _saved(world, lease, after)


def planned_moves(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Move the slice in order: revoke, write, grant."""
    holder = world.holders[lease]
    if holder.revoked == REVOKED:
        yield from _writes(context, world, lease)
    elif holder.revoked == LANDED:
        yield from _after_landing(context, world, lease)
    elif holder.revoked == WRITE_UNKNOWN:
        yield from _read_back(context, world, lease)
    else:
        yield from _landings(context, world, lease)
        if holder.served and holder.moves_left and may_send(context, holder):
            yield from _revokes(context, world, lease)


def _revokes(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Take the slice back; a grant that was not answered must have ended too."""
    holder = _one_move_less(world.holders[lease])
    owner = holder.owner
    if context.weakness.grant_first:
        moved = _moved(context, holder, lease)
        yield f"{lease} moves without order", with_holder(world, lease, moved)
    if context.weakness.unanswered_revoke:
        after = holder._replace(revoked=REVOKED)
        yield f"{lease} revokes, unanswered", with_holder(world, lease, after)
    target = world.targets[owner]
    if not context.obeys(target, lease) or not context.knows(world, holder, owner):
        return
    revoked = with_target(world, owner, Target(target.fence, 0, 0))
    yield f"{NAMES[owner]} gets a revoke, answer lost", revoked
    if _unanswered(world, lease) and not context.weakness.late_grant_forgotten:
        return
    counts = context.counts(world, lease, holder, owner)
    after = acknowledged(holder, owner, counts=counts)._replace(revoked=REVOKED)
    yield f"{lease} revokes {NAMES[owner]}", with_holder(revoked, lease, after)


def _landings(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Adopt an earlier write of ours that took effect after it was read back.

    Any later write meets it. The old owner may have been granted the slice anew.
    """
    holder = world.holders[lease]
    record = world.record
    if record.lease != lease or record.revision <= holder.base:
        return
    overlooked = context.weakness.landed_serves and _unanswered(world, lease)
    after = holder._replace(
        owner=record.owner,
        slice_term=record.slice_term,
        base=record.revision,
        revoked=0 if overlooked else LANDED,
    )
    changed = done(world, record.revision)
    yield f"{lease} adopts its landed write", with_holder(changed, lease, after)


def _unanswered(world: World, lease: int) -> bool:
    """Return whether a grant of the lease to its present owner was not answered."""
    late = world.late[world.holders[lease].owner]
    return late is not None and late.lease == lease


def _after_landing(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Revoke what the old owner holds, or wait until its grants have ended."""
    holder = world.holders[lease]
    if not may_send(context, holder):
        return
    free = holder._replace(revoked=0)
    if rules.own_ended(holder, holder.limit, context.weakness):
        yield (
            f"{lease} has waited after its landed write",
            with_holder(world, lease, free),
        )
    old = 1 - holder.owner
    target = world.targets[old]
    late = world.late[old]
    if not context.obeys(target, lease) or (late and late.lease == lease):
        return
    changed = with_target(world, old, Target(target.fence, 0, 0))
    yield f"{lease} revokes stray at {NAMES[old]}", with_holder(changed, lease, free)


def _writes(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Write a move whose slice was revoked."""
    holder = world.holders[lease]
    moved = _moved(context, holder, lease)
    if _may_write(context, world, lease, holder):
        yield f"{lease} writes", _saved(world, lease, moved)
    elif world.record.lease == lease:
        yield f"{lease} meets its own write", _own_found(world, lease, holder)
    if world.pending is None:
        pending = PendingWrite(holder.base, _record_of(world, lease, moved))
        after = holder._replace(revoked=WRITE_UNKNOWN)
        changed = world._replace(pending=pending)
        yield f"{lease} writes, answer lost", with_holder(changed, lease, after)


def _own_found(world: World, lease: int, holder: Holder) -> World:
    """Go on from a write of ours that took effect after it was read back."""
    after = holder._replace(revoked=0, base=world.record.revision)
    return with_holder(done(world, world.record.revision), lease, after)


def _read_back(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Find out what became of a write whose answer was lost."""
    holder = world.holders[lease]
    record = world.record
    moved = _moved(context, holder, lease)
    if context.weakness.no_read_back:
        after = moved._replace(base=holder.base + 1)
        changed = done(world, after.base)
        yield f"{lease} takes its write as done", with_holder(changed, lease, after)
    elif record.lease != lease:
        yield f"{lease} reads another's record", with_holder(world, lease, GONE)
    elif record.revision == holder.base:
        after = holder._replace(revoked=0)
        yield f"{lease} reads no change", with_holder(world, lease, after)
    else:
        after = moved._replace(base=record.revision)
        changed = done(world, record.revision)
        yield f"{lease} reads its write", with_holder(changed, lease, after)


def late_writes(context: Context, world: World) -> Iterator[Step]:
    """Let a write whose answer was lost take effect late, or never."""
    pending = world.pending
    if pending is None:
        return
    rest = world._replace(pending=None)
    yield "a write is lost", rest
    current = pending.base == world.record.revision
    if current or context.weakness.unconditional_write:
        yield "a write takes effect late", written(rest, pending.base, pending.record)
