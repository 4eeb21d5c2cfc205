"""Tests of the assignment that continues a record from before a restore."""

from __future__ import annotations

from itertools import count
import math

import pytest

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import CLOCK_DRIFT_FACTOR, CONTROL_TIMEOUT, HOLD_MARGIN
from swiftpin.keyranges.fences import FENCES_PER_TERM
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.keyranges.restored_assignment import (
    KeyRange,
    is_map_newer,
    ranges_of_others,
    with_known_owners,
)
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.unrecorded_grants import MAX_RECORD_TIME, last_release_at

TERM = 3
HOLD = 4.4


@pytest.fixture(name="recorded")
def recorded_fixture() -> Assignment:
    """Return a record in which one of two ranges is being moved."""
    fence = TERM * FENCES_PER_TERM + 1
    return Assignment(
        segments=(
            Segment(first=0, last=99, owner="a", fence=fence),
            Segment(first=100, last=65535, owner="b", fence=fence, former_owner="a"),
        )
    )


def make_map(*owners: str, firsts: tuple[int, ...], term: int = TERM) -> KeyMap:
    """Return a key map."""
    return KeyMap(service="desk", term=term, number=7, firsts=firsts, owners=owners)


def owners(assignment: Assignment) -> list[tuple[int, int, str]]:
    """Return the segments with their owners."""
    return [(item.first, item.last, item.owner) for item in assignment.segments]


def test_owners_of_a_newer_map_are_kept(recorded: Assignment) -> None:
    """Guards against keys that stop being served since their move was lost."""
    known = make_map("a", "c", "", firsts=(0, 50, 200))
    merged = with_known_owners(recorded, known, count(1).__next__)
    assert owners(merged) == [(0, 49, "a"), (50, 199, "c"), (200, 65535, "b")]
    assert len(merged.fences()) == len(merged.segments)
    assert not any(segment.former_owner for segment in merged.segments)


def test_recorded_owners_are_used_without_a_map(recorded: Assignment) -> None:
    """A target that takes part in an unfinished move is asked to release the keys."""
    merged = with_known_owners(recorded, None, count(1).__next__)
    assert owners(merged) == [(0, 99, "a"), (100, 65535, "b")]


@pytest.mark.parametrize(("term", "is_newer"), [(TERM - 1, False), (TERM, True)])
def test_map_of_an_earlier_term_is_not_newer(
    recorded: Assignment, term: int, *, is_newer: bool
) -> None:
    """Guards against an instance whose map is older than the restored record."""
    known = make_map("c", firsts=(0,), term=term)
    assert is_map_newer(known, recorded) is is_newer


def test_each_target_releases_all_keys_that_it_does_not_own() -> None:
    """Guards against keys that a target keeps after a move which the store lost."""
    segments = [
        Segment(first=first, last=first + 99, owner=owner, fence=1)
        for first, owner in ((0, "a@2"), (100, "b"), (200, "c"), (300, "a@2"))
    ]
    assignment = Assignment(segments=tuple(segments))
    assert ranges_of_others(assignment, "b") == [
        KeyRange(first=0, last=99),
        KeyRange(first=200, last=399),
    ]
    assert ranges_of_others(assignment, "d") == [KeyRange(first=0, last=399)]


def test_target_with_a_similar_name_releases_the_keys() -> None:
    """Guards against two owners whose names differ by a sign that ends a name."""
    segment = Segment(first=0, last=65535, owner="a@b", fence=1)
    assert ranges_of_others(Assignment(segments=(segment,)), "a")
    assert not ranges_of_others(Assignment(segments=(segment,)), "a@b@7")


def test_later_life_is_not_asked_to_release_its_own_keys() -> None:
    """Guards against keys that are lost since their owner had an earlier life."""
    segment = Segment(first=0, last=65535, owner="a@2", fence=1)
    assert ranges_of_others(Assignment(segments=(segment,)), "a@1") == []


def test_work_after_a_lost_release_is_waited_for_while_its_grant_may_be_valid() -> None:
    """Guards against keys that are granted while their former owner works on them."""
    expired_after = (
        MAX_RECORD_TIME + CONTROL_TIMEOUT + HOLD * CLOCK_DRIFT_FACTOR + HOLD_MARGIN
    )
    before = math.nextafter(100.0 + expired_after, 0.0)
    assert last_release_at(103.0, 100.0, HOLD, before) == 103.0 + CONTROL_TIMEOUT
    assert last_release_at(103.0, 100.0, HOLD, 100.0 + expired_after) is None
