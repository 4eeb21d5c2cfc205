"""Tests of carrying moves out."""

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
    """Lets go of keys when it is told to."""

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.is_granted = True
        self.fault: Exception | None = None

    async def async_release_former_owner(
        self, segment: Segment, asked_at: float | None
    ) -> str | None:
        """Wait for the former owner."""
        await self.released.wait()
        if self.fault is not None:
            raise self.fault
        return "handover"

    async def async_grant_new_owner(self, segment: Segment) -> bool:
        """Grant the new owner."""
        return self.is_granted


@pytest.fixture(name="mover")
def mover_fixture() -> ScriptedMover:
    """Return a mover."""
    return ScriptedMover()


@pytest.fixture(name="state")
def state_fixture() -> AssignmentState:
    """Return the state with one move."""
    state = AssignmentState()
    state.assignment = Assignment(segments=(MOVING,))
    return state


@pytest.fixture(name="handovers")
def handovers_fixture() -> dict[int, str]:
    """Return the handovers that were noted."""
    return {}


@pytest.fixture(name="runner")
def runner_fixture(
    mover: ScriptedMover, state: AssignmentState, handovers: dict[int, str]
) -> MoveRunner:
    """Return a runner of the scripted mover's moves."""
    return MoveRunner(
        service="desk",
        state=state,
        granter=cast(Granter, SimpleNamespace(handovers_by_fence=handovers)),
        mover=cast(Mover, mover),
        publisher=cast(KeyMapPublisher, SimpleNamespace(publish=lambda: None)),
    )


async def async_end(lines: list[dict[str, Any]], message: str) -> dict[str, Any]:
    """Return the line that tells how a move ended."""
    async with asyncio.timeout(1.0):
        while True:
            for line in lines:
                if line.get("message_type") == message:
                    return line
            await asyncio.sleep(0)


async def test_keys_have_their_new_owner_once_the_former_let_go(
    runner: MoveRunner,
    mover: ScriptedMover,
    state: AssignmentState,
    handovers: dict[int, str],
    lines: list[dict[str, Any]],
) -> None:
    """The handover is kept for the renewals that follow."""
    runner.start(MOVING)
    await asyncio.sleep(0)
    assert state.current.segments == (MOVING,)
    mover.released.set()
    await async_end(lines, "move_done")
    assert state.owners() == {"b"}
    assert state.granted_fences == {7}
    assert handovers == {7: "handover"}


async def test_keys_of_a_move_without_a_taker_are_not_served(
    runner: MoveRunner,
    mover: ScriptedMover,
    state: AssignmentState,
    lines: list[dict[str, Any]],
) -> None:
    """The new owner is gone meanwhile; the next plan moves its keys on."""
    mover.is_granted = False
    mover.released.set()
    runner.start(MOVING)
    await async_end(lines, "move_stuck")
    assert state.granted_fences == set()


async def test_fault_of_a_move_is_reported(
    runner: MoveRunner, mover: ScriptedMover, lines: list[dict[str, Any]]
) -> None:
    """A task that nobody waits for would end unseen."""
    mover.fault = RuntimeError("a fault")
    mover.released.set()
    runner.start(MOVING)
    line = await async_end(lines, "move_failed")
    assert "a fault" in line["error"]


async def test_unloaded_move_changes_nothing(
    runner: MoveRunner, mover: ScriptedMover, state: AssignmentState
) -> None:
    """The record still tells of it, to whoever assigns next."""
    runner.start(MOVING)
    await asyncio.sleep(0)
    runner.unload()
    mover.released.set()
    await asyncio.sleep(0)
    assert state.current.segments == (MOVING,)
