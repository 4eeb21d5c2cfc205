"""Messages of a holder to its targets; one that is lost is a step not taken."""

from __future__ import annotations

from collections.abc import Iterator

from spec.fenced import rules
from spec.fenced.changes import (
    acknowledged,
    extended,
    granted,
    in_three,
    in_two,
    noted_if_new,
    with_holder,
    with_late,
    with_target,
)
from spec.fenced.context import Context
from spec.fenced.holder import Holder
from spec.fenced.late_grant import LateGrant
from spec.fenced.target import NAMES, STANDBY, THIRD, UNFENCED, Target
from spec.fenced.world import World
from spec.times import GRANT_TTL, NOT_BEGUN

Step = tuple[str, World]


def fences(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Fence a target, or renew nothing there: both bind it and confirm the holder."""
    holder = world.holders[lease]
    for target in (0, STANDBY, THIRD):
        before = world.targets[target]
        if before.fence > lease or not context.knows(world, holder, target):
            continue
        after = _with_report(holder, target, before)
        counts = context.counts(world, lease, holder, target)
        after = acknowledged(after, target, counts=counts)
        if before.fence == lease and after == holder:
            continue
        changed = with_target(world, target, before._replace(fence=lease))
        yield f"{lease} fences {NAMES[target]}", with_holder(changed, lease, after)


def _with_report(holder: Holder, target: int, state: Target) -> Holder:
    """Take over what a fenced target reports."""
    if holder.served:
        return holder
    first_time = not holder.fenced[target]
    holder = holder._replace(fenced=in_three(holder.fenced, target, 1))
    if target == THIRD:
        return holder
    holder = holder._replace(
        reports=in_two(holder.reports, target, 1 if state.held else 0)
    )
    if state.held and state.slice_term > holder.slice_term:
        if target != holder.owner:
            holder = holder._replace(stray_limit=holder.limit)
        holder = holder._replace(owner=target, slice_term=state.slice_term)
        first_time = True
    if not first_time:
        return holder
    if target == holder.owner:
        return holder._replace(limit=GRANT_TTL)
    return holder._replace(stray_limit=GRANT_TTL)


def may_send(context: Context, holder: Holder) -> bool:
    """Return whether the holder would send a grant or a renewal now."""
    if rules.confirmed(holder):
        return True
    return context.weakness.no_recheck and holder.wait != NOT_BEGUN


def renewals(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Renew a slice that the owner reported, before anything else shows the owner."""
    holder = world.holders[lease]
    owner = holder.owner
    target = world.targets[owner]
    if holder.served or not holder.reports[owner] or not may_send(context, holder):
        return
    if context.weakness.report_serves:
        yield f"{lease} serves by report", _served(world, lease, holder)
    if not context.obeys(target, lease) or not context.knows(world, holder, owner):
        return
    counts = context.counts(world, lease, holder, owner)
    after = acknowledged(holder, owner, counts=counts)._replace(limit=GRANT_TTL)
    if target.held:
        term = max(holder.slice_term, target.slice_term)
        after = after._replace(slice_term=term)
        changed = extended(world, owner)
        yield f"{lease} renews {NAMES[owner]}", _served(changed, lease, after)
    else:
        after = after._replace(reports=in_two(holder.reports, owner, 0))
        yield f"{lease} misses slice", with_holder(world, lease, after)


def _served(world: World, lease: int, holder: Holder) -> World:
    """Return the world after a holder knows the slice's owner."""
    return with_holder(world, lease, holder._replace(served=1))


def grants(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Grant the slice to its owner, whether or not the owner still holds it."""
    holder = world.holders[lease]
    if holder.revoked or not may_send(context, holder):
        return
    if rules.stray(holder) or not rules.serve(holder, context.weakness):
        return
    owner = holder.owner
    if not context.knows(world, holder, owner):
        return
    term = rules.slice_term_unreported(holder, lease, context.weakness)
    sent = holder._replace(limit=GRANT_TTL, served=1, slice_term=term)
    if context.scope.planned:
        world = noted_if_new(world, lease, owner)
    if context.obeys(world.targets[owner], lease):
        counts = context.counts(world, lease, holder, owner)
        after = acknowledged(sent, owner, counts=counts)
        changed = granted(world, owner, term, GRANT_TTL)
        yield f"{lease} grants {NAMES[owner]}", with_holder(changed, lease, after)
    if lease < context.scope.late and world.late[owner] is None:
        changed = with_late(world, owner, LateGrant(lease, GRANT_TTL, term))
        label = f"{lease} grants {NAMES[owner]}, unanswered"
        yield label, with_holder(changed, lease, sent)


def deliveries(context: Context, world: World) -> Iterator[Step]:
    """Deliver a grant that was on its way."""
    for target, grant in enumerate(world.late):
        if grant is None or not context.obeys(world.targets[target], grant.lease):
            continue
        changed = granted(world, target, grant.slice_term, grant.left)
        yield f"{NAMES[target]} gets a late grant", with_late(changed, target, None)


def stray_revokes(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Revoke what a target reported beside the record."""
    holder = world.holders[lease]
    other = 1 - holder.owner
    if holder.served or not holder.reports[other] or not may_send(context, holder):
        return
    target = world.targets[other]
    if not context.obeys(target, lease) or not context.knows(world, holder, other):
        return
    counts = context.counts(world, lease, holder, other)
    after = acknowledged(holder, other, counts=counts)
    after = after._replace(reports=in_two(holder.reports, other, 0))
    changed = with_target(world, other, Target(target.fence, 0, 0))
    yield f"{lease} revokes stray at {NAMES[other]}", with_holder(changed, lease, after)


def stray_renewals(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Renew what a target holds beside the record, with all else that it holds."""
    holder = world.holders[lease]
    other = 1 - holder.owner
    if holder.served or not holder.reports[other] or not may_send(context, holder):
        return
    target = world.targets[other]
    if not context.obeys(target, lease) or not context.knows(world, holder, other):
        return
    after = holder._replace(stray_limit=GRANT_TTL)
    changed = extended(world, other) if target.held else world
    yield f"{lease} renews stray at {NAMES[other]}", with_holder(changed, lease, after)


def forgets(context: Context, world: World, lease: int) -> Iterator[Step]:
    """Forget what a lost target reported, once every grant on it has ended."""
    holder = world.holders[lease]
    if holder.served or not may_send(context, holder):
        return
    for target, held in enumerate(holder.reports):
        limit = holder.limit if target == holder.owner else holder.stray_limit
        if held and rules.own_ended(holder, limit, context.weakness):
            after = holder._replace(reports=in_two(holder.reports, target, 0))
            label = f"{lease} forgets what {NAMES[target]} reported"
            yield label, with_holder(world, lease, after)


def restarts(context: Context, world: World) -> Iterator[Step]:
    """Restart the one target that may: it forgets its fence and its grants.

    The process of the earlier start may still run until its grant ends.
    """
    target = context.scope.restarts
    if target is None or world.boot:
        return
    before = world.targets[target]
    world = world._replace(boot=1, ghost=before.held)
    world = with_target(world, target, Target(UNFENCED, 0, 0))
    if target != THIRD:
        world = with_late(world, target, None)
    yield f"{NAMES[target]} restarts", world
