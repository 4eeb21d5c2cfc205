"""Tests of planning at the limit of segments.

Hot keys, replaced targets and leaving targets split the keys into more and more
segments. At the limit, load must still be balanced and segments must be merged.

These tests guard against an assignment that stays at the limit: 30 targets had 177 to
181 segments (the limit is 180) during 14 calm seconds with only two moves, while a
tenth of the targets used 0.9 to 1.0 of their slots and another tenth 0.1 to 0.3. This
happens if no moves for balance are planned above the limit, and if segments are merged
only between two of the same owner with little load and only when nothing else moves.
"""

from __future__ import annotations

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.planner import MAX_SEGMENTS_PER_TARGET, plan_moves
from swiftpin.keyranges.segment import Segment

TARGETS = tuple(f"t-{number}" for number in range(10))
CAPACITY = 10.0
PLAN_COUNT = 20
"""Number of consecutive plans, which take three seconds."""


def make_alternating_assignment(segment_count: int) -> Assignment:
    """Return an assignment of equal segments whose owners alternate."""
    bounds = [
        KEY_COUNT * number // segment_count for number in range(segment_count + 1)
    ]
    return Assignment(
        segments=tuple(
            Segment(
                first=bounds[number],
                last=bounds[number + 1] - 1,
                owner=TARGETS[number % len(TARGETS)],
                fence=1,
            )
            for number in range(segment_count)
        )
    )


def execute_plans(assignment: Assignment, rates: dict[int, float]) -> Assignment:
    """Return the assignment after `PLAN_COUNT` plans, each executed completely."""
    capacities = dict.fromkeys(TARGETS, CAPACITY)
    for number in range(PLAN_COUNT):
        moves = plan_moves(assignment, capacities, rates)
        merged, _ = assignment.with_merged_neighbours(
            1000 * number + 1000, len(moves) + 100
        )
        planned = merged.with_moves(moves, 1000 * number + 1500)
        segments = tuple(
            Segment(
                first=segment.first,
                last=segment.last,
                owner=segment.owner,
                fence=segment.fence,
            )
            for segment in planned.segments
        )
        assignment = Assignment(segments=segments)
    return assignment


def loads_by_target(
    assignment: Assignment, rates: dict[int, float]
) -> dict[str, float]:
    """Return the load of each target."""
    result = dict.fromkeys(TARGETS, 0.0)
    for key, rate in rates.items():
        result[assignment.segment_of(key).owner] += rate
    return result


def test_load_is_balanced_with_many_segments() -> None:
    """One target gets twice the load that it can handle while others idle."""
    assignment = make_alternating_assignment(MAX_SEGMENTS_PER_TARGET * len(TARGETS) + 5)
    rates = {
        (segment.first + segment.last) // 2: 3.0 if segment.owner == "t-0" else 0.5
        for segment in assignment.segments
    }
    assert loads_by_target(assignment, rates)["t-0"] > CAPACITY
    loads_after = loads_by_target(execute_plans(assignment, rates), rates)
    assert max(loads_after.values()) < 0.8 * CAPACITY


def test_hot_neighbouring_keys_are_spread_with_many_segments() -> None:
    """Neighbouring keys become hot once there are many segments."""
    assignment = make_alternating_assignment(MAX_SEGMENTS_PER_TARGET * len(TARGETS) + 5)
    hot = range(1100, 1200)
    assert assignment.segment_of(1100) == assignment.segment_of(1199)
    rates = {segment.first: 0.3 for segment in assignment.segments}
    rates |= dict.fromkeys(hot, 0.4)
    assignment_after = execute_plans(assignment, rates)
    assert max(loads_by_target(assignment_after, rates).values()) < CAPACITY


def test_ranges_become_fewer_again() -> None:
    """Cold segments between two owners are merged with one of them."""
    assignment = make_alternating_assignment(MAX_SEGMENTS_PER_TARGET * len(TARGETS) + 5)
    rates = {segment.first: 0.3 for segment in assignment.segments}
    assignment_after = execute_plans(assignment, rates)
    assert len(assignment_after.segments) < MAX_SEGMENTS_PER_TARGET * len(TARGETS) / 2
