"""Tests of single grants."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import TargetUnreachableError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.const import CLOCK_DRIFT, HOLD_MARGIN, HOLD_TIME
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.segment import Segment
from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife
from swiftpin.platform.target_control import (
    GrantCall,
    GrantRefusedError,
    TargetControl,
    TargetNotReachedError,
)

SEGMENT = Segment(first=0, last=9, owner="a", fence=5)
TARGET = Target(
    life=TargetLife(name="a"),
    service="desk",
    address="a:1",
    zone="z",
    slots=2,
    is_draining=False,
    cold_for=0.0,
    revision=1,
)


class FakeControl:
    """Takes grants over one connection, or loses their answers."""

    def __init__(self) -> None:
        self.connection = 1
        self.fences: list[int] = []
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


@pytest.fixture(name="granter")
def granter_fixture(control: FakeControl) -> Granter:
    """Return a granter that gives the usual time."""
    return Granter(
        control=cast(TargetControl, control),
        directory=TargetDirectory(StoreHealth(), 2.0),
        health_path="/health",
        usual_hold=lambda: HOLD_TIME,
        fences=Fences(),
        term=1,
    )


async def test_tries_at_a_silent_target_do_not_put_its_end_off(
    granter: Granter, control: FakeControl
) -> None:
    """Symptom: keys of a silent target stayed unserved for as long as it was asked.

    Sequence: its grants were renewed again and again without an answer.
    Cause: each try counted as a grant that the target may have taken.
    """
    session = granter.session("a")
    control.loses_answers = True
    started = suspend_aware_now()
    for _ in range(5):
        assert not await granter.async_grant(TARGET, SEGMENT, session)
    longest = HOLD_TIME * CLOCK_DRIFT + HOLD_MARGIN
    assert session.held_until <= started + longest + 0.5


async def test_target_that_answers_again_gets_the_usual_time(
    granter: Granter, control: FakeControl
) -> None:
    """Symptom: a target refused its keys for a second after it had come back.

    Sequence: it was silent until its grants had nearly ended; a short trial grant was
    answered; the next renewal came later than that grant's end.
    Cause: the trial was taken for a full renewal.
    """
    session = granter.session("a")
    session.note_failure(suspend_aware_now())
    assert await granter.async_grant(TARGET, SEGMENT, session)
    assert control.holds[0] < 1.0
    assert control.holds[-1] == HOLD_TIME


@pytest.mark.parametrize("loses_answers", [False, True])
async def test_grant_that_was_long_on_its_way_is_waited_for(
    granter: Granter, control: FakeControl, *, loses_answers: bool
) -> None:
    """Symptom: two targets held the same keys.

    Sequence: a grant took half a second to reach its target, or was given up after
    that. Cause: its end was counted from the sending, but the target counts from the
    arrival, which may be as late as the answer, or the moment at which it is given up.
    """
    session = granter.session("a")
    control.loses_answers = loses_answers
    control.delay = 0.5
    started = suspend_aware_now()
    await granter.async_grant(TARGET, SEGMENT, session)
    assert session.held_until >= started + 0.5 + HOLD_TIME * CLOCK_DRIFT
