"""Tests of single grants."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import (
    GrantRefusedError,
    TargetNotReachedError,
    TargetUnreachableError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import CLOCK_DRIFT_FACTOR, HOLD_MARGIN, MIN_REGULAR_HOLD
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.key_grant import GrantCall
from swiftpin.platform.target_control import TargetControl
from tests.keyranges.targets import make_target

SEGMENT = Segment(first=0, last=9, owner="a", fence=5)
TARGET = make_target("a")


class FakeControl:
    """Accepts grants over one connection, or loses their answers."""

    def __init__(self) -> None:
        self.connection = 1
        self.fences: list[int] = []
        self.preferred_connections: list[int | None] = []
        self.holds: list[float] = []
        self.highest_seen_fence = 0
        self.refuses_connections = False
        self.loses_answers = False
        self.delay = 0.0

    async def async_grant(
        self,
        address: str,
        target_id: str,
        call: GrantCall,
        *,
        limit: float,
    ) -> None:
        """Record the fence and hold time of a grant."""
        if self.refuses_connections:
            raise TargetNotReachedError("refused")
        self.preferred_connections.append(call.preferred_connection)
        fence = call.fence_for_connection(self.connection)
        self.fences.append(fence)
        self.holds.append(call.hold)
        await asyncio.sleep(self.delay)
        if self.loses_answers:
            self.connection += 1
            raise TargetUnreachableError("lost")
        if fence < self.highest_seen_fence:
            raise GrantRefusedError("a has seen a higher fence")


@pytest.fixture(name="control")
def control_fixture() -> FakeControl:
    """Return a control that accepts grants."""
    return FakeControl()


@pytest.fixture(name="directory")
def directory_fixture() -> TargetDirectory:
    """Return a directory without targets."""
    return TargetDirectory(StoreHealth(), 2.0)


@pytest.fixture(name="granter")
def granter_fixture(
    control: FakeControl, directory: TargetDirectory, sessions: TargetSessions
) -> Granter:
    """Return a granter with the regular hold time."""
    return Granter(
        control=cast(TargetControl, control),
        sessions=sessions,
        directory=directory,
        health_path="/health",
        regular_hold=lambda: MIN_REGULAR_HOLD,
        fences=Fences(),
        term=1,
    )


async def test_calls_to_a_silent_target_do_not_extend_its_hold(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Guards against keys that stay with a silent target for as long as it is called.

    Each unanswered renewal may have taken effect, so it must not expire later than the
    grants that the target may already hold.
    """
    session = sessions.get_or_create("a")
    control.loses_answers = True
    started_at = suspend_aware_now()
    for _ in range(5):
        assert not await granter.async_grant(TARGET, SEGMENT, session)
    max_duration = MIN_REGULAR_HOLD * CLOCK_DRIFT_FACTOR + HOLD_MARGIN
    assert session.held_until <= started_at + max_duration + 0.5


async def test_target_that_answers_again_gets_the_regular_hold(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Guards against a recovered target whose grant expires before the next renewal.

    The first grant after a failure is short; once it is answered, a grant of the
    regular length must follow immediately.
    """
    session = sessions.get_or_create("a")
    session.note_failure(suspend_aware_now())
    assert await granter.async_grant(TARGET, SEGMENT, session)
    assert control.holds[0] < 1.0
    assert control.holds[-1] == MIN_REGULAR_HOLD


@pytest.mark.parametrize("loses_answers", [False, True])
async def test_grant_that_was_long_on_its_way_is_waited_for(
    granter: Granter,
    control: FakeControl,
    sessions: TargetSessions,
    *,
    loses_answers: bool,
) -> None:
    """Guards against two targets that hold the same keys after a delayed grant.

    A target counts the hold time from the grant's arrival, which may be as late as the
    answer or the timeout; the assigner must not count from the sending.
    """
    session = sessions.get_or_create("a")
    control.loses_answers = loses_answers
    control.delay = 0.5
    started_at = suspend_aware_now()
    await granter.async_grant(TARGET, SEGMENT, session)
    assert (
        session.held_until >= started_at + 0.5 + MIN_REGULAR_HOLD * CLOCK_DRIFT_FACTOR
    )


async def test_renewal_keeps_its_fence_on_its_connection(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Successful renewals use one fence and prefer the same connection."""
    session = sessions.get_or_create("a")
    for _ in range(3):
        assert await granter.async_grant(TARGET, SEGMENT, session)
    assert len(set(control.fences)) == 1
    assert control.preferred_connections == [
        None,
        control.connection,
        control.connection,
    ]


async def test_renewal_over_a_new_connection_has_a_higher_fence(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Guards against two lives of a target that hold keys under the same fence.

    A restart breaks the target's connections, so a renewal over a new connection may
    reach a new life and must not reuse the fence.
    """
    session = sessions.get_or_create("a")
    assert await granter.async_grant(TARGET, SEGMENT, session)
    control.connection += 1
    assert await granter.async_grant(TARGET, SEGMENT, session)
    assert control.fences[1] > control.fences[0]


async def test_grant_without_an_answer_is_not_repeated_under_its_fence(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Guards against two lives of a target that hold keys under the same fence.

    A target may accept a grant and terminate before it answers; the next attempt may
    reach its next life.
    """
    session = sessions.get_or_create("a")
    control.loses_answers = True
    assert not await granter.async_grant(TARGET, SEGMENT, session)
    control.loses_answers = False
    assert await granter.async_grant(TARGET, SEGMENT, session)
    assert control.fences[1] > control.fences[0]


async def test_refused_connections_use_no_fence(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Guards against exhausting a term's fences.

    A target may refuse connections four times per second for hours; no fence may be
    allocated when nothing is sent.
    """
    session = sessions.get_or_create("a")
    next_fence = granter._fences.next_fence
    control.refuses_connections = True
    assert not await granter.async_grant(TARGET, SEGMENT, session)
    assert granter._fences.next_fence == next_fence


async def test_refused_grant_is_sent_again_under_a_new_fence(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """A target that has seen a higher fence keeps its keys under a new one."""
    session = sessions.get_or_create("a")
    control.highest_seen_fence = 2
    assert await granter.async_grant(TARGET, SEGMENT, session)
    assert control.fences == [1, 2]


async def test_grant_that_is_refused_again_is_abandoned(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Only two attempts are made if another instance grants under higher fences."""
    control.highest_seen_fence = 99
    assert not await granter.async_grant(TARGET, SEGMENT, sessions.get_or_create("a"))
    assert len(control.fences) == 2


async def test_each_kind_of_unanswered_grant_is_logged_once_per_second(
    granter: Granter,
    control: FakeControl,
    lines: list[dict[str, Any]],
    sessions: TargetSessions,
) -> None:
    """Each kind of failure is logged once per interval, with keys, fence and hold time.

    Without them, the log does not show which keys an unanswered grant may have granted.
    """
    session = sessions.get_or_create("a")
    control.loses_answers = True
    for _ in range(3):
        await granter.async_grant(TARGET, SEGMENT, session)
    control.refuses_connections = True
    await granter.async_grant(TARGET, SEGMENT, session)
    unanswered_lines = [
        line for line in lines if line["message_type"] == "grant_unanswered"
    ]
    assert [line["outcome"] for line in unanswered_lines] == ["written", "not sent"]
    first = unanswered_lines[0]
    assert (first["target"], first["first"], first["last"]) == ("a", 0, 9)
    assert (first["fence"], first["term"], first["hold"]) == (1, 1, MIN_REGULAR_HOLD)
    assert first["reason"] == "lost"


def test_handovers_of_removed_segments_are_dropped(granter: Granter) -> None:
    """Guards against unbounded growth: hot keys cause many moves per second."""
    granter.handovers_by_fence.update(dict.fromkeys(range(1, 9), "handover"))
    granter.prune_handovers(Assignment(segments=(SEGMENT,)))
    assert set(granter.handovers_by_fence) == {SEGMENT.fence}
