"""What the targets of the model do with grants and releases."""

from __future__ import annotations

from spec.ranges.weakness import RangeWeakness
from spec.ranges.world import HOLD, T_AFTER, RangeWorld


def take(world: RangeWorld, holder: int, fence: int) -> RangeWorld:
    """Return the world in which someone took the range under a fence."""
    if holder != world.top_holder and fence <= world.top_fence:
        return world._replace(is_fence_reused=True)
    if fence < world.top_fence:
        return world
    return world._replace(top_fence=fence, top_holder=holder)


def grant_to_t(world: RangeWorld, fence: int, hold: int = HOLD) -> RangeWorld:
    """Return the world after a grant that T takes unless it saw a higher fence."""
    if fence < world.fence_seen_by_t:
        return world
    taken = take(world, world.t_life, fence)
    return taken._replace(held_by_t=hold, fence_seen_by_t=fence)


def deliver(world: RangeWorld, hold: int) -> RangeWorld:
    """Return the world after T carried out the grant that had waited."""
    waiting = world._replace(late_grant=0, late_fence=0)
    return grant_to_t(waiting, world.late_fence, hold)


def release_by_t(world: RangeWorld, fence: int) -> RangeWorld:
    """Return the world after T's present life gave the range back."""
    seen = max(world.fence_seen_by_t, fence)
    return world._replace(held_by_t=0, fence_seen_by_t=seen)


def restart_t(weakness: RangeWeakness, world: RangeWorld) -> RangeWorld:
    """Return the world after T ended and started again.

    What its earlier life held, knew or had not carried out yet is gone, since a
    connection leads to one life only.
    """
    is_kept = weakness.call_reaches_next_life
    return world._replace(
        t_life=T_AFTER,
        held_by_t=0,
        fence_seen_by_t=0,
        late_grant=world.late_grant if is_kept else 0,
        late_fence=world.late_fence if is_kept else 0,
        is_first_connected=False,
        is_second_connected=False,
    )
