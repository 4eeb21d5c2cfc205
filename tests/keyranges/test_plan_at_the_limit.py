"""Plans for keys that are cut into as many ranges as can be renewed in time.

Symptom: for the rest of a day a tenth of the targets refuse requests while another
tenth idle, also long after the last trouble; keys that become hot are not shared out.

Sequence: hot keys, replaced targets and targets that leave cut the keys into more and
more ranges; from then on each change leaves the owners less even.

Cause: above a limit of ranges no move for balance was planned at all, and nothing led
back below it: pieces were given back only between two of one owner, to owners with
little load, and only when nothing else moved. Evidence: 30 targets had 177 to 181
ranges (the limit is 180) over 14 calm seconds in which two moves were made, while a
tenth of them used 0.9 to 1.0 of their slots and a tenth 0.1 to 0.3.
"""

from __future__ import annotations

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.planner import MAX_SEGMENTS_PER_TARGET, plan_moves
from swiftpin.keyranges.segment import Segment

TARGETS = tuple(f"t-{number}" for number in range(10))
CAPACITY = 10.0
PLANS = 20
"""Plans that are made one after the other: three seconds' worth."""


def cut_up(pieces: int) -> Assignment:
    """Return keys in equal pieces that the targets own by turns."""
    bounds = [KEY_COUNT * number // pieces for number in range(pieces + 1)]
    return Assignment(
        segments=tuple(
            Segment(
                first=bounds[number],
                last=bounds[number + 1] - 1,
                owner=TARGETS[number % len(TARGETS)],
                fence=1,
            )
            for number in range(pieces)
        )
    )


def carry_out(assignment: Assignment, rates: dict[int, float]) -> Assignment:
    """Return the assignment after some plans, each carried out whole."""
    capacities = dict.fromkeys(TARGETS, CAPACITY)
    for number in range(PLANS):
        moves = plan_moves(assignment, capacities, rates)
        joined, _ = assignment.with_merged_neighbours(
            1000 * number + 1000, len(moves) + 100
        )
        planned = joined.with_moves(moves, 1000 * number + 1500)
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


def loads(assignment: Assignment, rates: dict[int, float]) -> dict[str, float]:
    """Return the load of each target."""
    result = dict.fromkeys(TARGETS, 0.0)
    for key, rate in rates.items():
        result[assignment.segment_of(key).owner] += rate
    return result


def test_load_is_evened_out_among_many_ranges() -> None:
    """One target's keys are asked for twice as often as it bears, others idle."""
    assignment = cut_up(MAX_SEGMENTS_PER_TARGET * len(TARGETS) + 5)
    rates = {
        (segment.first + segment.last) // 2: 3.0 if segment.owner == "t-0" else 0.5
        for segment in assignment.segments
    }
    assert loads(assignment, rates)["t-0"] > CAPACITY
    after = loads(carry_out(assignment, rates), rates)
    assert max(after.values()) < 0.8 * CAPACITY


def test_new_hot_neighbours_are_shared_out_among_many_ranges() -> None:
    """Keys of one range become hot together once there are many ranges."""
    assignment = cut_up(MAX_SEGMENTS_PER_TARGET * len(TARGETS) + 5)
    hot = range(1100, 1200)
    assert assignment.segment_of(1100) == assignment.segment_of(1199)
    rates = {segment.first: 0.3 for segment in assignment.segments}
    rates |= dict.fromkeys(hot, 0.4)
    after = carry_out(assignment, rates)
    assert max(loads(after, rates).values()) < CAPACITY


def test_ranges_become_fewer_again() -> None:
    """Pieces between two owners are joined to one of them once they are cold."""
    assignment = cut_up(MAX_SEGMENTS_PER_TARGET * len(TARGETS) + 5)
    rates = {segment.first: 0.3 for segment in assignment.segments}
    after = carry_out(assignment, rates)
    assert len(after.segments) < MAX_SEGMENTS_PER_TARGET * len(TARGETS) / 2
