"""Time passes."""

from __future__ import annotations

from spec.fenced.holder import ACTIVE, Holder
from spec.fenced.late_grant import LateGrant
from spec.fenced.target import Target
from spec.fenced.world import World
from spec.times import down, down_past_end


def tick(world: World) -> World:
    """Return the world one tick later."""
    first, second, third = world.targets
    toward_first, toward_second = world.late
    return world._replace(
        targets=(_target(first), _target(second), third),
        holders=tuple(
            _holder(holder) if holder.phase == ACTIVE else holder
            for holder in world.holders
        ),
        late=(_late(toward_first), _late(toward_second)),
    )


def _target(target: Target) -> Target:
    """Let a grant run down; a slice whose grant has ended is gone."""
    if not target.held:
        return target
    if target.held == 1:
        return Target(target.fence, 0, 0)
    return target._replace(held=target.held - 1)


def _holder(holder: Holder) -> Holder:
    """Let confirmations, limits and waits run down."""
    first, second, third = holder.acks
    return holder._replace(
        acks=(down(first), down(second), down(third)),
        limit=down_past_end(holder.limit),
        wait=down_past_end(holder.wait),
    )


def _late(grant: LateGrant | None) -> LateGrant | None:
    """Let the limit of a message on its way run down."""
    if grant is None or grant.left == 1:
        return None
    return grant._replace(left=grant.left - 1)
