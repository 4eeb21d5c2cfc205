"""Effects of grants, releases and restarts on the targets of the model."""

from __future__ import annotations

from spec.ranges.weakness import RangeWeakness
from spec.ranges.world import HOLD, T_AFTER, RangeWorld


def acquire_range(world: RangeWorld, holder: int, fence: int) -> RangeWorld:
    """Return the world after a holder acquired the range under a fence."""
    if holder != world.highest_fence_holder and fence <= world.highest_fence:
        return world._replace(is_fence_reused=True)
    if fence < world.highest_fence:
        return world
    return world._replace(highest_fence=fence, highest_fence_holder=holder)


def grant_to_t(world: RangeWorld, fence: int, hold: int = HOLD) -> RangeWorld:
    """Return the world after a grant to T, which refuses it after a higher fence."""
    if fence < world.fence_seen_by_t:
        return world
    taken = acquire_range(world, world.t_life, fence)
    return taken._replace(held_by_t=hold, fence_seen_by_t=fence)


def deliver_late_grant(world: RangeWorld, hold: int) -> RangeWorld:
    """Return the world after T executed the delayed grant."""
    waiting = world._replace(late_grant=0, late_fence=0)
    return grant_to_t(waiting, world.late_fence, hold)


def release_by_t(world: RangeWorld, fence: int) -> RangeWorld:
    """Return the world after T's current life released the range."""
    seen = max(world.fence_seen_by_t, fence)
    return world._replace(held_by_t=0, fence_seen_by_t=seen)


def restart_t(weakness: RangeWeakness, world: RangeWorld) -> RangeWorld:
    """Return the world after a restart of T.

    The state and the pending calls of its previous life are lost, because a connection
    belongs to a single life.
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
