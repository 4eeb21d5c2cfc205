"""Ownership of a key range as a protocol that minicheck can check."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from minicheck import Protocol

from spec.ranges.targets import deliver, grant_to_t, release_by_t, restart_t, take
from spec.ranges.weakness import RangeWeakness
from spec.ranges.world import (
    FENCES_A_TERM,
    FIRST,
    HOLD,
    KEPT,
    LEASE,
    RECORDED,
    RELEASED,
    SECOND,
    T_AFTER,
    T_BEFORE,
    VOTE,
    WAIT,
    RangeWorld,
    U,
)

Step = tuple[str, RangeWorld]


def key_range(name: str, weakness: RangeWeakness) -> Protocol:
    """Return the protocol, weakened or not."""
    return Protocol(
        name=name,
        candidate=False,
        fields=RangeWorld._fields,
        initial=RangeWorld(),
        transitions=lambda state: list(_steps(weakness, RangeWorld._make(state))),
        invariants={"one_owner": one_owner, "fences_rise": fences_rise},
    )


def one_owner(state: Mapping[str, Any]) -> bool:
    """Return whether at most one target holds the range."""
    return not (state["held_by_t"] and state["held_by_u"])


def fences_rise(state: Mapping[str, Any]) -> bool:
    """Return whether the range was only ever passed on under higher fences."""
    return not state["is_fence_reused"]


def _steps(weakness: RangeWeakness, world: RangeWorld) -> Iterator[Step]:
    """Return every step that may come next; none follows a violation."""
    if (world.held_by_t and world.held_by_u) or world.is_fence_reused:
        return
    yield "tick", _tick(weakness, world)
    yield "store", world._replace(is_store_up=not world.is_store_up)
    yield "pause", world._replace(is_first_paused=not world.is_first_paused)
    if world.t_life == T_BEFORE:
        yield "T restarts", restart_t(weakness, world)
    if world.late_grant:
        hold = HOLD if weakness.delivers_given_up_calls else world.late_grant
        yield "late grant", deliver(world, hold)
    yield from _lease_steps(weakness, world)
    if _first_assigns(world):
        yield from _assigner_steps(weakness, world, FIRST)
    if world.second_leads:
        yield from _assigner_steps(weakness, world, SECOND)


def _first_assigns(world: RangeWorld) -> bool:
    """Return whether the first instance acts on its lease."""
    has_lease = world.first_lease > 0 or world.first_vote > 0
    return has_lease and not world.is_first_paused


def _tick(weakness: RangeWeakness, world: RangeWorld) -> RangeWorld:
    """Let time pass everywhere."""
    stops = weakness.clock_stops_in_pause and world.is_first_paused
    waited = min(world.second_waited + 1, WAIT)
    return world._replace(
        first_lease=world.first_lease if stops else max(world.first_lease - 1, 0),
        first_vote=world.first_vote if stops else max(world.first_vote - 1, 0),
        second_vote=max(world.second_vote - 1, 0),
        second_waited=waited,
        first_unsure=max(world.first_unsure - 1, 0),
        second_unsure=max(world.second_unsure - 1, 0),
        held_by_t=max(world.held_by_t - 1, 0),
        held_by_u=max(world.held_by_u - 1, 0),
        late_grant=world.late_grant
        if weakness.delivers_given_up_calls
        else max(world.late_grant - 1, 0),
    )


def _lease_steps(weakness: RangeWeakness, world: RangeWorld) -> Iterator[Step]:
    """Return renewals, votes and the takeover."""
    if world.second_leads:
        return
    if _first_assigns(world) and world.is_store_up:
        yield "renew lease", world._replace(first_lease=LEASE, second_waited=0)
    if _first_assigns(world) and not world.is_store_up:
        yield (
            "vote",
            world._replace(first_vote=VOTE, second_vote=VOTE),
        )
    is_lapsed = not _first_assigns(world) and not world.is_first_paused
    if is_lapsed and not world.is_first_resigned:
        yield "resign", world._replace(is_first_resigned=True)
    if is_lapsed and weakness.lapsed_lease_counts_again:
        yield "late vote", world._replace(first_vote=VOTE)
    is_bound = world.second_vote > 0 and not weakness.ignores_own_vote
    is_run_out = world.second_waited >= WAIT and not is_bound
    if world.is_store_up and (is_run_out or world.is_first_resigned):
        unsure = 0 if weakness.forgets_earlier_grants else HOLD
        yield (
            "take over",
            world._replace(
                second_leads=True,
                term=2,
                second_stage=RECORDED if world.is_move_recorded else KEPT,
                second_unsure=unsure,
            ),
        )


def _assigner_steps(
    weakness: RangeWeakness, world: RangeWorld, who: int
) -> Iterator[Step]:
    """Return what an instance with the lease may do next."""
    stage = world.first_stage if who == FIRST else world.second_stage
    unsure = world.first_unsure if who == FIRST else world.second_unsure
    if stage == KEPT:
        yield from _keep(weakness, world, who)
    elif stage == RECORDED:
        yield from _take_back(weakness, world, who, unsure)
    else:
        fence = _move_fence(who)
        yield "grant U", take(world, U, fence)._replace(held_by_u=HOLD)


def _keep(weakness: RangeWeakness, world: RangeWorld, who: int) -> Iterator[Step]:
    """Return renewals of T's grant, and the record of the move.

    Only the first instance's grants are lost on their way: their fence is the lowest.
    """
    sure = _with(world, who, unsure=HOLD)
    fence = _fence_for_t(weakness, world, who)
    if fence < _move_fence(who):
        yield "grant T", _with_fence(grant_to_t(sure, fence), who, fence)
        if who == FIRST:
            late = sure._replace(late_grant=HOLD, late_fence=fence)
            yield (
                "grant T, late",
                _with_fence(late, who, fence)._replace(is_first_connected=False),
            )
    if world.is_store_up:
        yield (
            "record",
            _with(world, who, stage=RECORDED)._replace(is_move_recorded=True),
        )
    elif weakness.grants_before_recording:
        yield "move unrecorded", _with(world, who, stage=RECORDED)


def _take_back(
    weakness: RangeWeakness, world: RangeWorld, who: int, unsure: int
) -> Iterator[Step]:
    """Return the release and the wait for the end of T's grants."""
    fence = 0 if weakness.release_keeps_fence else _move_fence(who)
    released = release_by_t(world, fence)
    yield "release", _with(released, who, stage=RELEASED)
    yield "release, answer lost", released
    if unsure == 0 or weakness.skips_wait:
        yield "wait over", _with(world, who, stage=RELEASED)
    if world.t_life == T_AFTER and weakness.new_life_frees_keys:
        yield "restart known", _with(world, who, stage=RELEASED)


def _move_fence(who: int) -> int:
    """Return the fence of an assigner's release and of its grant to U."""
    return FENCES_A_TERM * (who + 1)


def _fence_for_t(weakness: RangeWeakness, world: RangeWorld, who: int) -> int:
    """Return the fence under which an assigner would grant T now."""
    if who == FIRST:
        fence, is_connected = world.first_fence, world.is_first_connected
    else:
        fence, is_connected = world.second_fence, world.is_second_connected
        if weakness.successor_renews_recorded_fence and fence == FENCES_A_TERM:
            return 1
    if is_connected or weakness.fence_outlives_connection:
        return fence
    return fence + 1


def _with_fence(world: RangeWorld, who: int, fence: int) -> RangeWorld:
    """Return the world after a grant to T, which broke its connection if refused."""
    is_connected = fence >= world.fence_seen_by_t
    if who == FIRST:
        return world._replace(first_fence=fence, is_first_connected=is_connected)
    return world._replace(second_fence=fence, is_second_connected=is_connected)


def _with(
    world: RangeWorld, who: int, *, stage: int | None = None, unsure: int | None = None
) -> RangeWorld:
    """Return the world with an assigner's own knowledge changed."""
    if who == FIRST:
        return world._replace(
            first_stage=world.first_stage if stage is None else stage,
            first_unsure=world.first_unsure if unsure is None else unsure,
        )
    return world._replace(
        second_stage=world.second_stage if stage is None else stage,
        second_unsure=world.second_unsure if unsure is None else unsure,
    )
