"""Tests of fences and grants at a stand-in target, with times given."""

from __future__ import annotations

import pytest

from swiftpin.standins.fence import Fence
from swiftpin.standins.group_grants import GrantEvent, GroupGrants
from swiftpin.standins.refusal import Refusal
from swiftpin.standins.target_identity import TargetIdentity
from swiftpin.trace.released_event import ReleasedEvent
from swiftpin.trace.slice_term import SliceTerm

FENCE = Fence(term=4, holder="i1/aa")
SLICE = SliceTerm(7, 1)


@pytest.fixture
def events() -> list[GrantEvent]:
    """Return the recorded events."""
    return []


@pytest.fixture
def group(events: list[GrantEvent]) -> GroupGrants:
    """Return a fenced group with slice 7 granted from time 10 to 11."""
    identity = TargetIdentity(target="t1", boot_id="b1")
    group = GroupGrants("desk", 0, identity, events.append)
    group.raise_fence(FENCE)
    group.grant([SLICE], 11.0, 10.0)
    return group


def _releases(events: list[GrantEvent]) -> list[tuple[float, str]]:
    """Return time and reason of each release."""
    return [
        (event.at, event.why.value)
        for event in events
        if isinstance(event, ReleasedEvent)
    ]


@pytest.mark.parametrize(
    ("fence", "followed"),
    [
        (FENCE, True),
        (Fence(term=5, holder="i2/bb"), True),
        (Fence(term=4, holder="i2/bb"), False),
        (Fence(term=3, holder="i1/aa"), False),
    ],
)
def test_only_a_higher_term_or_the_same_holder_is_followed(
    group: GroupGrants, fence: Fence, followed: bool
) -> None:
    """A rival at the same term is refused like an older term."""
    assert group.raise_fence(fence) is followed


@pytest.mark.parametrize(
    ("fence", "refusal"),
    [
        (FENCE, None),
        (Fence(term=3, holder="i1/aa"), Refusal.STALE_TERM),
        (Fence(term=4, holder="i2/bb"), Refusal.STALE_TERM),
        (Fence(term=5, holder="i1/aa"), Refusal.NOT_GRANTED),
    ],
)
def test_request_starts_only_under_the_fence(
    group: GroupGrants, fence: Fence, refusal: Refusal | None
) -> None:
    """A term that the target was never fenced with is no grant either."""
    assert group.refusal(7, fence, 10.5) is refusal


def test_slice_that_was_not_granted_is_refused(group: GroupGrants) -> None:
    """A grant covers its slice only."""
    assert group.refusal(8, FENCE, 10.5) is Refusal.NOT_GRANTED


def test_lapse_is_stamped_with_the_limit(
    group: GroupGrants, events: list[GrantEvent]
) -> None:
    """A target that was frozen over the limit still names the limit."""
    assert group.refusal(7, FENCE, 99.0) is Refusal.NOT_GRANTED
    assert _releases(events) == [(11.0, "lapsed")]


def test_lapsed_slice_is_not_extended(group: GroupGrants) -> None:
    """Two targets own a slice.

    A target freezes past its grant's limit, the holder moves the slice, the target
    thaws and reads a renewal sent before. Cause: the renewal revives the grant.
    """
    group.lapse(11.0)
    group.extend(20.0)
    assert group.held == 0


def test_grant_read_after_its_limit_holds_nothing(
    group: GroupGrants, events: list[GrantEvent]
) -> None:
    """A delayed grant has ended before it is read."""
    group.grant([SliceTerm(8, 1)], 9.0, 10.0)
    assert group.held == 1
    assert len(events) == 1


def test_extension_never_shortens(group: GroupGrants) -> None:
    """A renewal that was overtaken by a later one changes nothing."""
    group.extend(12.0)
    group.extend(11.5)
    assert [grant.expires_at for grant in group.grants()] == [12.0]


def test_idle_slice_leaves_with_the_revoke(
    group: GroupGrants, events: list[GrantEvent]
) -> None:
    """Nothing runs, so nothing is waited for."""
    group.revoke([7, 8], 10.5)
    assert group.still_held([7, 8]) == []
    assert _releases(events) == [(10.5, "revoked")]


def test_busy_slice_takes_no_new_work_and_leaves_at_the_end(
    group: GroupGrants, events: list[GrantEvent]
) -> None:
    """A slice being revoked stays owned until its last execution ended."""
    grant = group.begin(7)
    group.revoke([7], 10.2)
    assert group.refusal(7, FENCE, 10.3) is Refusal.NOT_GRANTED
    assert group.still_held([7]) == [7]
    group.end(grant, 10.4)
    assert _releases(events) == [(10.4, "revoked")]


def test_execution_of_an_earlier_grant_is_not_covered_by_a_new_one(
    group: GroupGrants,
) -> None:
    """A lapse in between ends the execution's right, also after a new grant."""
    grant = group.begin(7)
    group.lapse(11.0)
    group.grant([SliceTerm(7, 2)], 13.0, 12.0)
    assert not group.holds(grant)


def test_new_term_reopens_slices_that_were_being_revoked(group: GroupGrants) -> None:
    """A slice stays shut for ever.

    A holder orders a revoke of a busy slice and dies; its successor fences the target,
    finds the slice held and renews it. Cause: the dead holder's order still binds.
    """
    group.begin(7)
    group.revoke([7], 10.2)
    fence = Fence(term=6, holder="i2/bb")
    group.raise_fence(fence)
    assert group.refusal(7, fence, 10.3) is None


def test_renewed_grant_is_no_news(group: GroupGrants, events: list[GrantEvent]) -> None:
    """Only slices that become held, or rise in term, are recorded."""
    group.grant([SLICE], 12.0, 10.5)
    group.grant([SliceTerm(7, 2)], 12.0, 10.6)
    assert [event.kind for event in events] == ["owned", "owned"]
