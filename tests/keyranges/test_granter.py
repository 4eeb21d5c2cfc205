"""Tests of single grants."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import TargetUnreachableError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import CLOCK_DRIFT_FACTOR, HOLD_MARGIN, MIN_REGULAR_HOLD
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.platform.target_control import (
    GrantCall,
    GrantRefusedError,
    TargetControl,
    TargetNotReachedError,
)
from tests.keyranges.targets import make_target

SEGMENT = Segment(first=0, last=9, owner="a", fence=5)
TARGET = make_target("a")


class FakeControl:
    """Takes grants over one connection, or loses their answers."""

    def __init__(self) -> None:
        self.connection = 1
        self.fences: list[int] = []
        self.preferred: list[int | None] = []
        self.holds: list[float] = []
        self.seen_fence = 0
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
        """Note fence and time of a grant."""
        if self.refuses_connections:
            raise TargetNotReachedError("refused")
        self.preferred.append(call.preferred_connection)
        fence = call.fence_over(self.connection)
        self.fences.append(fence)
        self.holds.append(call.hold)
        await asyncio.sleep(self.delay)
        if self.loses_answers:
            self.connection += 1
            raise TargetUnreachableError("lost")
        if fence < self.seen_fence:
            raise GrantRefusedError("a has seen a higher fence")


@pytest.fixture(name="control")
def control_fixture() -> FakeControl:
    """Return a control that answers."""
    return FakeControl()


@pytest.fixture(name="directory")
def directory_fixture() -> TargetDirectory:
    """Return a directory without targets."""
    return TargetDirectory(StoreHealth(), 2.0)


@pytest.fixture(name="granter")
def granter_fixture(
    control: FakeControl, directory: TargetDirectory, sessions: TargetSessions
) -> Granter:
    """Return a granter that gives the usual time."""
    return Granter(
        control=cast(TargetControl, control),
        sessions=sessions,
        directory=directory,
        health_path="/health",
        regular_hold=lambda: MIN_REGULAR_HOLD,
        fences=Fences(),
        term=1,
    )


async def test_tries_at_a_silent_target_do_not_put_its_end_off(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Symptom: keys of a silent target stayed unserved for as long as it was asked.

    Sequence: its grants were renewed again and again without an answer.
    Cause: each try counted as a grant that the target may have taken.
    """
    session = sessions.get_or_create("a")
    control.loses_answers = True
    started = suspend_aware_now()
    for _ in range(5):
        assert not await granter.async_grant(TARGET, SEGMENT, session)
    longest = MIN_REGULAR_HOLD * CLOCK_DRIFT_FACTOR + HOLD_MARGIN
    assert session.held_until <= started + longest + 0.5


async def test_target_that_answers_again_gets_the_usual_time(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Symptom: a target refused its keys for a second after it had come back.

    Sequence: it was silent until its grants had nearly ended; a short trial grant was
    answered; the next renewal came later than that grant's end.
    Cause: the trial was taken for a full renewal.
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
    """Symptom: two targets held the same keys.

    Sequence: a grant took half a second to reach its target, or was given up after
    that. Cause: its end was counted from the sending, but the target counts from the
    arrival, which may be as late as the answer, or the moment at which it is given up.
    """
    session = sessions.get_or_create("a")
    control.loses_answers = loses_answers
    control.delay = 0.5
    started = suspend_aware_now()
    await granter.async_grant(TARGET, SEGMENT, session)
    assert session.held_until >= started + 0.5 + MIN_REGULAR_HOLD * CLOCK_DRIFT_FACTOR


async def test_renewal_keeps_its_fence_on_its_connection(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """At rest no fence is spent, and every renewal goes over the same connection."""
    session = sessions.get_or_create("a")
    for _ in range(3):
        assert await granter.async_grant(TARGET, SEGMENT, session)
    assert len(set(control.fences)) == 1
    assert control.preferred == [None, control.connection, control.connection]


async def test_renewal_over_a_new_connection_has_a_higher_fence(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Symptom: a target took keys under a fence that its earlier life had.

    Sequence: a target started again under its name, and its connections broke; the
    next renewal went over a new one. Cause: it repeated the fence.
    """
    session = sessions.get_or_create("a")
    assert await granter.async_grant(TARGET, SEGMENT, session)
    control.connection += 1
    assert await granter.async_grant(TARGET, SEGMENT, session)
    assert control.fences[1] > control.fences[0]


async def test_grant_without_an_answer_is_not_repeated_under_its_fence(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Symptom: two lives of a target had the same keys under one fence.

    Sequence: a grant reached a target, which ended before it answered; the second try
    reached its next life. Cause: the second try repeated the fence.
    """
    session = sessions.get_or_create("a")
    control.loses_answers = True
    assert not await granter.async_grant(TARGET, SEGMENT, session)
    control.loses_answers = False
    assert await granter.async_grant(TARGET, SEGMENT, session)
    assert control.fences[1] > control.fences[0]


async def test_refused_connections_spend_no_fence(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Symptom: the fences of a term ran into those of the next one.

    Sequence: a target refused connections for hours, four times a second.
    Cause: each try took a fence, though nothing was sent.
    """
    session = sessions.get_or_create("a")
    before = granter._fences.next_fence
    control.refuses_connections = True
    assert not await granter.async_grant(TARGET, SEGMENT, session)
    assert granter._fences.next_fence == before


async def test_refused_grant_is_sent_again_under_a_new_fence(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """A target that has seen a higher fence keeps the keys that are its own."""
    session = sessions.get_or_create("a")
    control.seen_fence = 2
    assert await granter.async_grant(TARGET, SEGMENT, session)
    assert control.fences == [1, 2]


async def test_grant_that_is_refused_for_good_is_given_up(
    granter: Granter, control: FakeControl, sessions: TargetSessions
) -> None:
    """Where another instance grants under higher fences, two tries are made."""
    control.seen_fence = 99
    assert not await granter.async_grant(TARGET, SEGMENT, sessions.get_or_create("a"))
    assert len(control.fences) == 2


async def test_each_kind_of_unanswered_grant_is_told_once_a_second(
    granter: Granter,
    control: FakeControl,
    lines: list[dict[str, Any]],
    sessions: TargetSessions,
) -> None:
    """Symptom: nothing told which keys a grant without an answer may have given.

    Sequence: grants to a silent target were given up. Cause: only the first failure of
    a target was told, without keys, fence and hold.
    """
    session = sessions.get_or_create("a")
    control.loses_answers = True
    for _ in range(3):
        await granter.async_grant(TARGET, SEGMENT, session)
    control.refuses_connections = True
    await granter.async_grant(TARGET, SEGMENT, session)
    told = [line for line in lines if line["message_type"] == "grant_unanswered"]
    assert [line["outcome"] for line in told] == ["written", "not sent"]
    first = told[0]
    assert (first["target"], first["first"], first["last"]) == ("a", 0, 9)
    assert (first["fence"], first["term"], first["hold"]) == (1, 1, MIN_REGULAR_HOLD)
    assert first["reason"] == "lost"


def test_handovers_of_segments_that_are_gone_are_forgotten(granter: Granter) -> None:
    """Each move leaves one behind; where keys are hot there are many a second."""
    granter.handovers_by_fence.update(dict.fromkeys(range(1, 9), "handover"))
    granter.prune_handovers(Assignment(segments=(SEGMENT,)))
    assert set(granter.handovers_by_fence) == {SEGMENT.fence}
