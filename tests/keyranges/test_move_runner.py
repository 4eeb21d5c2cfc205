"""Tests of the execution of moves."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.key_map_publisher import KeyMapPublisher
from swiftpin.keyranges.move_runner import MoveRunner
from swiftpin.keyranges.mover import Mover
from swiftpin.keyranges.segment import Segment

MOVING = Segment(first=0, last=65535, owner="b", fence=7, former_owner="a")


class ScriptedMover:
    """Releases keys when the test sets `released`."""

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.is_granted = True
        self.error: Exception | None = None

    async def async_release_former_owner(
        self, segment: Segment, unconfirmed_release_at: float | None
    ) -> str | None:
        """Wait for the release, then return a handover or raise an error."""
        await self.released.wait()
        if self.error is not None:
            raise self.error
        return "handover"

    async def async_grant_new_owner(self, segment: Segment) -> bool:
        """Return whether the new owner accepts the keys."""
        return self.is_granted


@pytest.fixture(name="mover")
def mover_fixture() -> ScriptedMover:
    """Return a scripted mover."""
    return ScriptedMover()


@pytest.fixture(name="state")
def state_fixture() -> AssignmentState:
    """Return a state with one move."""
    state = AssignmentState()
    state.assignment = Assignment(segments=(MOVING,))
    return state


@pytest.fixture(name="handovers")
def handovers_fixture() -> dict[int, str]:
    """Return the recorded handovers."""
    return {}


@pytest.fixture(name="runner")
def runner_fixture(
    mover: ScriptedMover, state: AssignmentState, handovers: dict[int, str]
) -> MoveRunner:
    """Return a runner with the scripted mover."""
    return MoveRunner(
        service="desk",
        state=state,
        granter=cast(Granter, SimpleNamespace(handovers_by_fence=handovers)),
        mover=cast(Mover, mover),
        publisher=cast(KeyMapPublisher, SimpleNamespace(publish=lambda: None)),
    )


async def async_wait_for_line(
    lines: list[dict[str, Any]], message: str
) -> dict[str, Any]:
    """Wait for the log line of a move's end and return it."""
    async with asyncio.timeout(1.0):
        while True:
            for line in lines:
                if line.get("message_type") == message:
                    return line
            await asyncio.sleep(0)


async def test_keys_change_owner_after_the_release(
    runner: MoveRunner,
    mover: ScriptedMover,
    state: AssignmentState,
    handovers: dict[int, str],
    lines: list[dict[str, Any]],
) -> None:
    """The handover is kept for the following renewals."""
    runner.start(MOVING)
    await asyncio.sleep(0)
    assert state.current.segments == (MOVING,)
    mover.released.set()
    await async_wait_for_line(lines, "move_done")
    assert state.owners() == {"b"}
    assert state.granted_fences == {7}
    assert handovers == {7: "handover"}


async def test_keys_that_the_new_owner_does_not_accept_are_not_granted(
    runner: MoveRunner,
    mover: ScriptedMover,
    state: AssignmentState,
    lines: list[dict[str, Any]],
) -> None:
    """The new owner has left in the meantime; the next plan moves the keys again."""
    mover.is_granted = False
    mover.released.set()
    runner.start(MOVING)
    await async_wait_for_line(lines, "move_stuck")
    assert state.granted_fences == set()


async def test_error_of_a_move_is_logged(
    runner: MoveRunner, mover: ScriptedMover, lines: list[dict[str, Any]]
) -> None:
    """Nothing awaits the task, so its error would otherwise go unnoticed."""
    mover.error = RuntimeError("a fault")
    mover.released.set()
    runner.start(MOVING)
    line = await async_wait_for_line(lines, "move_failed")
    assert "a fault" in line["error"]


async def test_unloaded_move_changes_nothing(
    runner: MoveRunner, mover: ScriptedMover, state: AssignmentState
) -> None:
    """The stored record still contains the move for the next assigner."""
    runner.start(MOVING)
    await asyncio.sleep(0)
    runner.unload()
    mover.released.set()
    await asyncio.sleep(0)
    assert state.current.segments == (MOVING,)
