"""A fenced group as a protocol that minicheck can check."""

from __future__ import annotations

from collections.abc import Iterator

from minicheck import Protocol

from spec.fenced.clock import tick
from spec.fenced.context import Context
from spec.fenced.fault import MOVE_NOT_RECORDED
from spec.fenced.holder import (
    ACTIVE,
    EVERYBODY,
    GONE,
    IDLE,
    NO_REPORTS,
    Holder,
)
from spec.fenced.invariants import INVARIANTS, owners
from spec.fenced.leases import FIRST_RECORD, takeovers
from spec.fenced.messages import (
    Step,
    deliveries,
    fences,
    forgets,
    grants,
    renewals,
    restarts,
    stray_renewals,
    stray_revokes,
)
from spec.fenced.moves import (
    late_writes,
    loss_moves,
    planned_moves,
    saves,
    settles,
)
from spec.fenced.rules import confirmed
from spec.fenced.scope import Scope
from spec.fenced.target import OWNER, Target
from spec.fenced.weakness import Weakness
from spec.fenced.world import World
from spec.times import GRANT_TTL, HOLDER_LIMIT, LONG_ENDED


def fenced_group(name: str, scope: Scope, weakness: Weakness) -> Protocol:
    """Return the protocol of one scope, weakened or not."""
    context = Context(scope=scope, weakness=weakness)
    return Protocol(
        name=name,
        candidate=False,
        fields=World._fields,
        initial=_initial(scope),
        transitions=lambda state: list(_steps(context, World._make(state))),
        invariants=dict(INVARIANTS),
    )


def _initial(scope: Scope) -> World:
    """Return the state in which the first holder has just granted the slice to T."""
    first = Holder(
        phase=ACTIVE,
        acks=(HOLDER_LIMIT, HOLDER_LIMIT, HOLDER_LIMIT),
        limit=GRANT_TTL,
        stray_limit=LONG_ENDED,
        wait=LONG_ENDED,
        fenced=EVERYBODY,
        reports=NO_REPORTS,
        owner=OWNER,
        slice_term=0,
        served=1,
        moves_left=scope.moves[0],
        boot=0,
        starts_changed=0,
        revoked=0,
        base=0,
    )
    others = (IDLE,) * (len(scope.leases) - 1)
    return World(
        targets=(Target(0, GRANT_TTL, 0), Target(0, 0, 0), Target(0, 0, 0)),
        holders=(first, *others),
        record=FIRST_RECORD,
        late=(None, None),
        pending=None,
        boot=0,
        ghost=0,
        last_owner=OWNER,
        last_slice_term=0,
        done=0,
        faults=0,
    )


def _steps(context: Context, world: World) -> Iterator[Step]:
    """Return every step that may come next; none follows a violation."""
    if world.faults & ~MOVE_NOT_RECORDED or owners(world.targets, world.ghost) > 1:
        return
    yield "tick", _tidy(context, tick(context, world))
    for label, after in _events(context, world):
        same_targets = after.targets is world.targets
        yield label, after if same_targets else _tidy(context, after)


def _events(context: Context, world: World) -> Iterator[Step]:
    """Return every step that takes no time."""
    for lease, holder in enumerate(world.holders):
        yield from takeovers(context, world, lease)
        if holder.phase != ACTIVE:
            continue
        yield from fences(context, world, lease)
        yield from renewals(context, world, lease)
        yield from stray_renewals(context, world, lease)
        yield from grants(context, world, lease)
        yield from stray_revokes(context, world, lease)
        yield from forgets(context, world, lease)
        yield from saves(context, world, lease)
        yield from settles(context, world, lease)
        if context.scope.planned:
            yield from planned_moves(context, world, lease)
        else:
            yield from loss_moves(context, world, lease)
    yield from deliveries(context, world)
    yield from restarts(context, world)
    yield from late_writes(context, world)


def _tidy(context: Context, world: World) -> World:
    """End holders that can never be confirmed again, so that equal states are one.

    Fences only grow and a lease names one start of each target, so a holder that lost
    its majority cannot get one back. It may still begin its own next lease.
    """
    if context.keeps_ended:
        return world
    for lease, holder in enumerate(world.holders):
        if holder.phase != ACTIVE or holder.revoked or confirmed(holder):
            continue
        if lease in context.renewed:
            continue
        if _followers(context, world, lease) < 2:
            holders = world.holders
            world = world._replace(
                holders=(*holders[:lease], GONE, *holders[lease + 1 :])
            )
    return world


def _followers(context: Context, world: World, lease: int) -> int:
    """Return how many targets may still acknowledge the lease."""
    holder = world.holders[lease]
    return sum(
        target.fence <= lease and context.knows(world, holder, index)
        for index, target in enumerate(world.targets)
    )
