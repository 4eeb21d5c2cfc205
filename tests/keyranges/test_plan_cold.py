"""Tests of planning while some targets bear only what cold ones do."""

from __future__ import annotations

from dataclasses import replace

from swiftpin.keyranges.assignment import Assignment, divide_by_weight
from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.planner import plan_moves

WARM = 16.0
COLD = 4.7
WARM_TARGETS = ("a", "b", "c")
COLD_TARGETS = ("x", "y", "z")
CAPACITIES = dict.fromkeys(WARM_TARGETS, WARM) | dict.fromkeys(COLD_TARGETS, COLD)


def loads(assignment: Assignment, rates: dict[int, float]) -> dict[str, float]:
    """Return the load of each target."""
    result = dict.fromkeys(CAPACITIES, 0.0)
    for key, rate in rates.items():
        result[assignment.segment_of(key).owner] += rate
    return result


def spread(total: float) -> dict[int, float]:
    """Return rates of keys that are asked for alike, of a total."""
    keys = range(0, KEY_COUNT, 128)
    return dict.fromkeys(keys, total / len(keys))


def test_cold_newcomers_get_nothing_while_the_others_bear_the_load() -> None:
    """Guards against half of a busy target's keys at one that is cold."""
    assignment = divide_by_weight(dict.fromkeys(WARM_TARGETS, 1.0), fence=1)
    rates = spread(0.4 * WARM * len(WARM_TARGETS))
    assert plan_moves(assignment, CAPACITIES, rates, limited_targets=COLD_TARGETS) == []


def test_cold_newcomers_take_what_they_bear_of_a_load_that_is_too_much() -> None:
    """Guards against cold targets that idle beside targets that are full."""
    assignment = divide_by_weight(dict.fromkeys(WARM_TARGETS, 1.0), fence=1)
    rates = spread(1.2 * WARM * len(WARM_TARGETS))
    moves = plan_moves(assignment, CAPACITIES, rates, limited_targets=COLD_TARGETS)
    after = loads(assignment.with_moves(moves, 2), rates)
    assert all(0.3 * COLD < after[name] <= COLD for name in COLD_TARGETS)


def test_keys_of_lost_targets_are_shared_out_by_what_cold_targets_bear() -> None:
    """Guards against a lost zone's keys at the cold targets that came in its place."""
    lost = ("l", "m", "n")
    assignment = divide_by_weight(dict.fromkeys((*WARM_TARGETS, *lost), 1.0), fence=1)
    rates = spread(0.5 * WARM * 6)
    moves = plan_moves(assignment, CAPACITIES, rates, limited_targets=COLD_TARGETS)
    after = loads(assignment.with_moves(moves, 2), rates)
    assert all(after[name] <= 1.1 * COLD for name in COLD_TARGETS)


def test_targets_that_are_cold_again_give_away_what_they_cannot_bear() -> None:
    """Guards against callers who are refused at a cold target while others have room.

    A target that is cold again still owns its keys.
    """
    assignment = divide_by_weight(dict.fromkeys(CAPACITIES, 1.0), fence=1)
    rates = spread(0.45 * WARM * 6)
    for fence in range(2, 12):
        moves = plan_moves(assignment, CAPACITIES, rates, limited_targets=COLD_TARGETS)
        moved = assignment.with_moves(moves, fence)
        assignment = replace(
            moved,
            segments=tuple(
                replace(segment, former_owner="") for segment in moved.segments
            ),
        )
    after = loads(assignment, rates)
    assert all(after[name] <= 1.3 * COLD for name in COLD_TARGETS)
