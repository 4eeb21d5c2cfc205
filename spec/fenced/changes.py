"""Small changes of a model's state."""

from __future__ import annotations

from typing import TypeVar

from spec.fenced.fault import (
    DONE_WRITE_LOST,
    MOVE_NOT_RECORDED,
    RECORD_WENT_BACK,
    SLICE_TERM_FELL,
)
from spec.fenced.holder import EVERYBODY, NO_REPORTS, Holder
from spec.fenced.late_grant import LateGrant
from spec.fenced.record import Record
from spec.fenced.rules import with_predecessors_noted
from spec.fenced.target import Target
from spec.fenced.world import World
from spec.times import GRANT_TTL, HOLDER_LIMIT, LONG_ENDED

Item = TypeVar("Item")


def in_three(
    items: tuple[Item, Item, Item], index: int, item: Item
) -> tuple[Item, Item, Item]:
    """Return the three with one replaced."""
    first, second, third = items
    if index == 0:
        return (item, second, third)
    if index == 1:
        return (first, item, third)
    return (first, second, item)


def in_two(items: tuple[Item, Item], index: int, item: Item) -> tuple[Item, Item]:
    """Return the pair with one replaced."""
    return (item, items[1]) if index == 0 else (items[0], item)


def with_holder(world: World, lease: int, holder: Holder) -> World:
    """Return the world with what a holder knows, noting when its waits begin."""
    holder = with_predecessors_noted(holder)
    if not holder.reports[1 - holder.owner] and holder.stray_limit != LONG_ENDED:
        holder = holder._replace(stray_limit=LONG_ENDED)
    if holder.served:
        holder = _without_needless(holder)
    holders = world.holders
    return world._replace(holders=(*holders[:lease], holder, *holders[lease + 1 :]))


def _without_needless(holder: Holder) -> Holder:
    """Forget what no rule asks for any more, so that equal states are one."""
    if holder.fenced != EVERYBODY or holder.reports != NO_REPORTS:
        holder = holder._replace(fenced=EVERYBODY, reports=NO_REPORTS)
    if holder.moves_left or holder.starts_changed or holder.wait == LONG_ENDED:
        return holder
    return holder._replace(wait=LONG_ENDED)


def acknowledged(holder: Holder, target: int, *, counts: bool) -> Holder:
    """Return the holder after a target's acknowledgement."""
    if not counts:
        return holder
    return holder._replace(acks=in_three(holder.acks, target, HOLDER_LIMIT))


def with_target(world: World, target: int, state: Target) -> World:
    """Return the world with one target changed."""
    return world._replace(targets=in_three(world.targets, target, state))


def with_late(world: World, target: int, grant: LateGrant | None) -> World:
    """Return the world with the message on its way to one target changed."""
    return world._replace(late=in_two(world.late, target, grant))


def granted(world: World, target: int, slice_term: int, left: int) -> World:
    """Let the target hold the slice, and note what that tells of slice terms."""
    before = world.targets[target]
    term = max(before.slice_term, slice_term) if before.held else slice_term
    held = max(before.held, left)
    world = with_target(world, target, Target(before.fence, held, term))
    last = world.last_slice_term
    fell = term <= last if target != world.last_owner else term < last
    faults = world.faults | SLICE_TERM_FELL if fell else world.faults
    return world._replace(last_owner=target, last_slice_term=term, faults=faults)


def noted_if_new(world: World, lease: int, target: int) -> World:
    """Note a planned move whose new owner is granted before the record names it."""
    record = world.record
    if target in (world.last_owner, record.owner) or record.lease != lease:
        return world
    return world._replace(faults=world.faults | MOVE_NOT_RECORDED)


def extended(world: World, target: int) -> World:
    """Let the target hold on to what it holds."""
    before = world.targets[target]
    return with_target(world, target, before._replace(held=GRANT_TTL))


def written(world: World, base: int, record: Record) -> World:
    """Replace the record; `base` is the revision that the writer built on."""
    faults = world.faults
    before = world.record
    if (record.lease, record.revision) <= (before.lease, before.revision):
        faults |= RECORD_WENT_BACK
    if base < world.done:
        faults |= DONE_WRITE_LOST
    return world._replace(record=record, faults=faults)


def done(world: World, revision: int) -> World:
    """Note that a writer knows its write as done."""
    faults = world.faults
    if world.record.revision < revision:
        faults |= DONE_WRITE_LOST
    return world._replace(done=max(world.done, revision), faults=faults)
