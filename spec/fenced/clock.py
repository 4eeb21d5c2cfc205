"""Time passes."""

from __future__ import annotations

from spec.fenced.context import Context
from spec.fenced.holder import ACTIVE, Holder
from spec.fenced.late_grant import LateGrant
from spec.fenced.target import Target
from spec.fenced.world import World
from spec.times import down, down_past_end


def tick(context: Context, world: World) -> World:
    """Return the world one tick later."""
    first, second, third = world.targets
    toward_first, toward_second = world.late
    return world._replace(
        targets=(_target(first), _target(second), third),
        holders=tuple(
            _holder(context, world, lease) for lease in range(len(world.holders))
        ),
        late=(_late(toward_first), _late(toward_second)),
        ghost=down(world.ghost),
    )


def _target(target: Target) -> Target:
    """Let a grant run down; a slice whose grant has ended is gone."""
    if not target.held:
        return target
    if target.held == 1:
        return Target(target.fence, 0, 0)
    return target._replace(held=target.held - 1)


def _holder(context: Context, world: World, lease: int) -> Holder:
    """Let confirmations, limits and waits run down.

    A target that still follows the lease is taken to acknowledge it all the time: an
    older acknowledgement would only forbid more.
    """
    holder = world.holders[lease]
    if holder.phase != ACTIVE:
        return holder
    first, second, third = (
        ack if context.follows(world, lease, target) else down(ack)
        for target, ack in enumerate(holder.acks)
    )
    return holder._replace(
        acks=(first, second, third),
        limit=down_past_end(holder.limit),
        stray_limit=down_past_end(holder.stray_limit),
        wait=down_past_end(holder.wait),
    )


def _late(grant: LateGrant | None) -> LateGrant | None:
    """Let the limit of a message on its way run down."""
    if grant is None or grant.left == 1:
        return None
    return grant._replace(left=grant.left - 1)
