"""Key range ownership as a protocol for minicheck."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from minicheck import Protocol

from spec.ranges.targets import (
    acquire_range,
    deliver_late_grant,
    grant_to_t,
    release_by_t,
    restart_t,
)
from spec.ranges.weakness import RangeWeakness
from spec.ranges.world import (
    FENCES_PER_TERM,
    FIRST,
    HOLD,
    IN_DOUBT,
    LEASE,
    RECORDED,
    RELEASED,
    SECOND,
    T_AFTER,
    T_BEFORE,
    UNRECORDED,
    VOTE,
    WAIT,
    RangeWorld,
    U,
)

Step = tuple[str, RangeWorld]


def key_range(name: str, weakness: RangeWeakness) -> Protocol:
    """Return the protocol with the given weakness."""
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
    """Return whether every new holder got the range under a higher fence."""
    return not state["is_fence_reused"]


def _steps(weakness: RangeWeakness, world: RangeWorld) -> Iterator[Step]:
    """Yield every possible next step; none after a violation."""
    if (world.held_by_t and world.held_by_u) or world.is_fence_reused:
        return
    yield "tick", _tick(weakness, world)
    yield "store", world._replace(is_store_up=not world.is_store_up)
    if not world.was_restored:
        yield "restore", _restore(world)
    yield "pause", world._replace(is_first_paused=not world.is_first_paused)
    if world.t_life == T_BEFORE:
        yield "T restarts", restart_t(weakness, world)
    if world.late_grant:
        hold = HOLD if weakness.delivers_given_up_calls else world.late_grant
        yield "late grant", deliver_late_grant(world, hold)
    yield from _lease_steps(weakness, world)
    if _first_assigns(world):
        yield from _assigner_steps(weakness, world, FIRST)
    if world.second_leads:
        yield from _assigner_steps(weakness, world, SECOND)


def _restore(world: RangeWorld) -> RangeWorld:
    """Return the world after the store came back from a copy without the move.

    A candidate counts the age of the lease anew, as its holder may have renewed it.
    """
    return world._replace(
        was_restored=True,
        is_record_complete=False,
        is_move_recorded=False,
        second_waited=0,
    )


def _first_assigns(world: RangeWorld) -> bool:
    """Return whether the first instance currently acts as the assigner."""
    has_lease = world.first_lease > 0 or world.first_vote > 0
    return has_lease and not world.is_first_paused


def _tick(weakness: RangeWeakness, world: RangeWorld) -> RangeWorld:
    """Advance all clocks by one tick."""
    stops = weakness.clock_stops_in_pause and world.is_first_paused
    waited = min(world.second_waited + 1, WAIT)
    return world._replace(
        first_lease=world.first_lease if stops else max(world.first_lease - 1, 0),
        first_vote=world.first_vote if stops else max(world.first_vote - 1, 0),
        second_vote=max(world.second_vote - 1, 0),
        second_waited=waited,
        first_possible_hold=max(world.first_possible_hold - 1, 0),
        second_possible_hold=max(world.second_possible_hold - 1, 0),
        held_by_t=max(world.held_by_t - 1, 0),
        held_by_u=max(world.held_by_u - 1, 0),
        late_grant=world.late_grant
        if weakness.delivers_given_up_calls
        else max(world.late_grant - 1, 0),
    )


def _lease_steps(weakness: RangeWeakness, world: RangeWorld) -> Iterator[Step]:
    """Yield lease renewals, votes and the takeover."""
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
    is_bound_by_vote = world.second_vote > 0 and not weakness.ignores_own_vote
    has_wait_ended = world.second_waited >= WAIT and not is_bound_by_vote
    if world.is_store_up and (has_wait_ended or world.is_first_resigned):
        possible_hold = 0 if weakness.forgets_earlier_grants else HOLD
        stage = RECORDED if world.is_move_recorded else UNRECORDED
        if not world.is_record_complete and not weakness.trusts_restored_record:
            stage = IN_DOUBT
        yield (
            "take over",
            world._replace(
                second_leads=True,
                term=2,
                second_stage=stage,
                second_possible_hold=possible_hold,
            ),
        )


def _assigner_steps(
    weakness: RangeWeakness, world: RangeWorld, assigner: int
) -> Iterator[Step]:
    """Yield the next steps of an instance that is the assigner."""
    stage = world.first_stage if assigner == FIRST else world.second_stage
    possible_hold = (
        world.first_possible_hold if assigner == FIRST else world.second_possible_hold
    )
    if stage == IN_DOUBT:
        yield from _steps_in_doubt(weakness, world)
        return
    if world.is_store_up and not world.is_record_complete:
        yield (
            "record again",
            world._replace(
                is_record_complete=True, is_move_recorded=stage != UNRECORDED
            ),
        )
    if stage == UNRECORDED:
        yield from _steps_before_move(weakness, world, assigner)
    elif stage == RECORDED:
        yield from _release_steps(weakness, world, assigner, possible_hold)
    else:
        fence = _move_fence(assigner)
        yield "grant U", acquire_range(world, U, fence)._replace(held_by_u=HOLD)


def _steps_in_doubt(weakness: RangeWeakness, world: RangeWorld) -> Iterator[Step]:
    """Yield how the successor ends all grants but those of the owner it continues with.

    That may be T, as recorded, or U, if it knows a newer key map.
    """
    keeps_t = _with_assigner_state(world, SECOND, stage=UNRECORDED)
    keeps_u = _with_assigner_state(world, SECOND, stage=RELEASED)
    yield "U releases", keeps_t._replace(held_by_u=0)
    yield "U releases, answer lost", world._replace(held_by_u=0)
    fence = _move_fence(SECOND)
    yield "T releases", release_by_t(keeps_u, fence)
    yield "T releases, answer lost", release_by_t(world, fence)
    if world.second_possible_hold == 0 or weakness.skips_silent_target:
        yield "U silent", keeps_t
        yield "T silent", keeps_u


def _steps_before_move(
    weakness: RangeWeakness, world: RangeWorld, assigner: int
) -> Iterator[Step]:
    """Yield renewals of T's grant and the recording of the move.

    Only grants of the first instance may be delayed, because their fence is the lowest.
    """
    granted = _with_assigner_state(world, assigner, possible_hold=HOLD)
    fence = _fence_for_t(weakness, world, assigner)
    if fence < _move_fence(assigner):
        yield "grant T", _with_fence(grant_to_t(granted, fence), assigner, fence)
        if assigner == FIRST:
            delayed = granted._replace(late_grant=HOLD, late_fence=fence)
            yield (
                "grant T, late",
                _with_fence(delayed, assigner, fence)._replace(
                    is_first_connected=False
                ),
            )
    if world.is_store_up and world.is_record_complete:
        yield (
            "record",
            _with_assigner_state(world, assigner, stage=RECORDED)._replace(
                is_move_recorded=True
            ),
        )
    elif weakness.grants_before_recording:
        yield "move unrecorded", _with_assigner_state(world, assigner, stage=RECORDED)


def _release_steps(
    weakness: RangeWeakness, world: RangeWorld, assigner: int, possible_hold: int
) -> Iterator[Step]:
    """Yield the release and the end of the wait for T's grants."""
    fence = 0 if weakness.release_keeps_fence else _move_fence(assigner)
    released = release_by_t(world, fence)
    yield "release", _with_assigner_state(released, assigner, stage=RELEASED)
    yield "release, answer lost", released
    if possible_hold == 0 or weakness.skips_wait:
        yield "wait over", _with_assigner_state(world, assigner, stage=RELEASED)
    if world.t_life == T_AFTER and weakness.new_life_frees_keys:
        yield "restart known", _with_assigner_state(world, assigner, stage=RELEASED)


def _move_fence(assigner: int) -> int:
    """Return the fence of an assigner's release and its grant to U."""
    return FENCES_PER_TERM * (assigner + 1)


def _fence_for_t(weakness: RangeWeakness, world: RangeWorld, assigner: int) -> int:
    """Return the fence that an assigner would use for a grant to T now."""
    if assigner == FIRST:
        fence, is_connected = world.first_fence, world.is_first_connected
    else:
        fence, is_connected = world.second_fence, world.is_second_connected
        if weakness.successor_renews_recorded_fence and fence == FENCES_PER_TERM:
            return 1
    if is_connected or weakness.fence_outlives_connection:
        return fence
    return fence + 1


def _with_fence(world: RangeWorld, assigner: int, fence: int) -> RangeWorld:
    """Return the world after a grant to T; a refusal closes the connection."""
    is_connected = fence >= world.fence_seen_by_t
    if assigner == FIRST:
        return world._replace(first_fence=fence, is_first_connected=is_connected)
    return world._replace(second_fence=fence, is_second_connected=is_connected)


def _with_assigner_state(
    world: RangeWorld,
    assigner: int,
    *,
    stage: int | None = None,
    possible_hold: int | None = None,
) -> RangeWorld:
    """Return the world with an assigner's own state changed."""
    if assigner == FIRST:
        return world._replace(
            first_stage=world.first_stage if stage is None else stage,
            first_possible_hold=world.first_possible_hold
            if possible_hold is None
            else possible_hold,
        )
    return world._replace(
        second_stage=world.second_stage if stage is None else stage,
        second_possible_hold=world.second_possible_hold
        if possible_hold is None
        else possible_hold,
    )
