"""Tests of planning while some targets have the reduced capacity of cold ones."""

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


def loads_by_target(
    assignment: Assignment, rates: dict[int, float]
) -> dict[str, float]:
    """Return the load of each target."""
    result = dict.fromkeys(CAPACITIES, 0.0)
    for key, rate in rates.items():
        result[assignment.segment_of(key).owner] += rate
    return result


def even_rates(total: float) -> dict[int, float]:
    """Return equal rates of evenly spread keys with the given total."""
    keys = range(0, KEY_COUNT, 128)
    return dict.fromkeys(keys, total / len(keys))


def test_cold_new_targets_get_no_keys_while_the_others_handle_the_load() -> None:
    """Guards against moving half of a busy target's keys to a cold one."""
    assignment = divide_by_weight(dict.fromkeys(WARM_TARGETS, 1.0), fence=1)
    rates = even_rates(0.4 * WARM * len(WARM_TARGETS))
    assert plan_moves(assignment, CAPACITIES, rates, limited_targets=COLD_TARGETS) == []


def test_cold_new_targets_get_a_share_of_an_overload() -> None:
    """Guards against cold targets that idle while others are overloaded."""
    assignment = divide_by_weight(dict.fromkeys(WARM_TARGETS, 1.0), fence=1)
    rates = even_rates(1.2 * WARM * len(WARM_TARGETS))
    moves = plan_moves(assignment, CAPACITIES, rates, limited_targets=COLD_TARGETS)
    loads_after = loads_by_target(assignment.with_moves(moves, 2), rates)
    assert all(0.3 * COLD < loads_after[name] <= COLD for name in COLD_TARGETS)


def test_keys_of_lost_targets_are_spread_by_capacity() -> None:
    """Guards against moving all keys of a lost zone to its cold replacements."""
    lost_targets = ("l", "m", "n")
    assignment = divide_by_weight(
        dict.fromkeys((*WARM_TARGETS, *lost_targets), 1.0), fence=1
    )
    rates = even_rates(0.5 * WARM * 6)
    moves = plan_moves(assignment, CAPACITIES, rates, limited_targets=COLD_TARGETS)
    loads_after = loads_by_target(assignment.with_moves(moves, 2), rates)
    assert all(loads_after[name] <= 1.1 * COLD for name in COLD_TARGETS)


def test_targets_that_become_cold_again_lose_their_excess_load() -> None:
    """Guards against refused requests at a cold target while others have capacity.

    A target that becomes cold again still owns its keys.
    """
    assignment = divide_by_weight(dict.fromkeys(CAPACITIES, 1.0), fence=1)
    rates = even_rates(0.45 * WARM * 6)
    for fence in range(2, 12):
        moves = plan_moves(assignment, CAPACITIES, rates, limited_targets=COLD_TARGETS)
        moved = assignment.with_moves(moves, fence)
        assignment = replace(
            moved,
            segments=tuple(
                replace(segment, former_owner="") for segment in moved.segments
            ),
        )
    loads_after = loads_by_target(assignment, rates)
    assert all(loads_after[name] <= 1.3 * COLD for name in COLD_TARGETS)
