"""Rules of the ownership protocol."""

from __future__ import annotations

import math

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from swiftpin.ownership.clock_reading import ClockReading
from swiftpin.ownership.cooperative_confirmation import CooperativeConfirmation
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.majority_confirmation import MajorityConfirmation
from swiftpin.ownership.predecessor import Predecessor
from swiftpin.ownership.rules import (
    acknowledge,
    confirmed,
    confirmed_since,
    confirmed_until,
    is_fenced_group,
    lapsed,
    majority_at,
    may_use_reserved_term,
    next_slice_term,
    next_store_term,
    predecessor_end,
    reserved_term,
    successor_may_take_over,
)
from swiftpin.ownership.timing import Timing

TIMING = Timing()
TARGETS = frozenset({"a", "b", "c"})


@pytest.fixture
def record() -> GroupRecord:
    """Return a record that names holder and successor."""
    return GroupRecord(
        id=GroupId(service="desk", group=0),
        term=4,
        revision=1,
        holder="i1/x",
        successor="i2/x",
        writer="w",
        reason="test",
    )


@pytest.mark.parametrize(
    ("acknowledged", "expected"),
    [
        ({"a": 1.0, "b": 2.0, "c": 3.0}, 2.0),
        ({"a": 1.0, "b": 2.0}, 1.0),
        ({"a": 1.0}, -math.inf),
        ({"a": 1.0, "x": 5.0}, -math.inf),
    ],
)
def test_majority_counts_from_its_oldest_member(
    acknowledged: dict[str, float], expected: float
) -> None:
    """A majority is as old as the oldest acknowledgement that it needs."""
    assert majority_at(acknowledged, TARGETS) == expected


def test_an_even_set_needs_more_than_half() -> None:
    """Two of four targets could confirm two holders at once."""
    four = frozenset({"a", "b", "c", "d"})
    assert majority_at({"a": 1.0, "b": 1.0}, four) == -math.inf
    assert majority_at({"a": 1.0, "b": 1.0, "c": 1.0}, four) == 1.0


def test_a_change_of_targets_needs_a_majority_of_both_sets() -> None:
    """While a new set of targets is being written, either may be in force."""
    confirmation = MajorityConfirmation(
        acknowledged_at_by_target={"a": 9.0, "b": 9.0, "d": 5.0},
        target_sets=(TARGETS, frozenset({"a", "d", "e"})),
    )
    assert confirmed_until(confirmation, TIMING) == 5.0 + TIMING.holder_limit


def test_a_cooperative_holder_ends_with_its_store_contact() -> None:
    """Acknowledgements of a successor do not outlast the outage limit."""
    confirmation = CooperativeConfirmation(at=5000.0, store_at=1.0)
    assert confirmed(confirmation, TIMING, 1.0 + TIMING.outage_limit) is False


@pytest.mark.parametrize(
    ("sender", "term", "expected"),
    [("i1/x", 4, True), ("i1/x", 3, False), ("i1/y", 4, False), ("i3/x", 4, False)],
)
def test_only_the_recorded_holder_is_acknowledged(
    record: GroupRecord, sender: str, term: int, expected: bool
) -> None:
    """Another incarnation or term gets no acknowledgement."""
    assert acknowledge(record, "i2/x", sender, term) is expected


def test_only_the_recorded_successor_acknowledges(record: GroupRecord) -> None:
    """An instance that was replaced as successor confirms nobody."""
    assert acknowledge(record, "i3/x", "i1/x", 4) is False
    assert acknowledge(None, "i2/x", "i1/x", 4) is False


@given(term=st.integers(min_value=0, max_value=10**6))
@settings(derandomize=True)
def test_store_terms_are_even_and_above_reserved_ones(term: int) -> None:
    """No two holders can ever use one term."""
    following = next_store_term(term)
    assert following % 2 == 0
    assert following > term
    if term % 2 == 0:
        assert term < reserved_term(term) < following


@given(
    old=st.integers(min_value=0, max_value=10**6),
    earlier=st.integers(min_value=1, max_value=10**4),
    later=st.integers(min_value=1, max_value=10**4),
)
@settings(derandomize=True)
def test_slice_terms_of_later_leases_are_higher(
    old: int, earlier: int, later: int
) -> None:
    """What a later holder gives is above all that an earlier one gave."""
    first = next_slice_term(old, earlier)
    assert next_slice_term(first, earlier + later) > first > old


@given(
    travel=st.floats(min_value=0.0, max_value=0.3),
    rate=st.floats(min_value=0.99, max_value=1.01),
    read_at=st.floats(min_value=0.0, max_value=1e5),
)
@settings(derandomize=True)
def test_a_grant_ends_before_its_holder_counts_it_as_lapsed(
    travel: float, rate: float, read_at: float
) -> None:
    """The target's clock may run fast or slow within the drift."""
    clock = 77.0
    reading = ClockReading(boot_id="b", clock=clock, received_at=read_at + travel)
    limit = reading.received_at + TIMING.grant_ttl
    expires_at = reading.expires_at(limit, TIMING)
    ends_at = read_at + (expires_at - clock) / rate
    assert lapsed(limit, TIMING, ends_at - 1e-6) is False


def test_predecessors_are_waited_out() -> None:
    """Nothing counts as ended before a majority was fenced."""
    unknown = Predecessor(disabled_at=math.inf, patience=1.0)
    assert predecessor_end(unknown, TIMING) == math.inf
    known = Predecessor(disabled_at=10.0, patience=1.0)
    assert 12.0 < predecessor_end(known, TIMING) < 12.1


def test_acting_after_a_wait_needs_fresh_acknowledgements() -> None:
    """Symptom: two owners, one of them granted by a holder that was deposed.

    Events: a wait ends; acknowledgements from before its end still confirm the
    holder, while a majority follows another one since. Found by `spec/`.
    Cause: taking an old majority for the present one.
    """
    confirmation = MajorityConfirmation(
        acknowledged_at_by_target={"a": 9.9, "b": 10.1, "c": 9.8},
        target_sets=(TARGETS, TARGETS),
    )
    assert confirmed(confirmation, TIMING, 10.2) is True
    assert confirmed_since(confirmation, 10.0) is False
    assert confirmed_since(confirmation, 9.85) is True


def test_a_successor_keeps_its_promise() -> None:
    """It takes over only after its last acknowledgement has run out."""
    assert successor_may_take_over(10.0, TIMING, 11.0) is False
    assert successor_may_take_over(10.0, TIMING, 11.1) is True


def test_a_reserved_term_needs_a_recent_heartbeat() -> None:
    """A successor that was cut off for long may remember an old record."""
    assert may_use_reserved_term(10.0, TIMING, 19.0) is True
    assert may_use_reserved_term(10.0, TIMING, 21.0) is False


@pytest.mark.parametrize(
    ("targets", "checks", "expected"),
    [(3, True, True), (2, True, False), (5, False, False)],
)
def test_which_groups_are_fenced(targets: int, checks: bool, expected: bool) -> None:
    """Targets must check grants and be enough for a majority."""
    assert is_fenced_group(targets, checks_grants=checks) is expected
