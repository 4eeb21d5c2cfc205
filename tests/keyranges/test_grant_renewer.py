"""Tests of renewing the grants of a service."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.const import MIN_REGULAR_HOLD
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.grant_renewer import GrantRenewer
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.key_map_publisher import KeyMapPublisher
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.target_life import TargetLife
from swiftpin.platform.target_control import (
    GrantCall,
    TargetControl,
    TargetNotReachedError,
)
from tests.keyranges.targets import make_target


class NotedControl:
    """Notes grants; may have a target that refuses connections."""

    def __init__(self) -> None:
        self.firsts: list[int] = []
        self.is_refusing = False

    async def async_grant(
        self, address: str, target_id: str, call: GrantCall, *, limit: float
    ) -> None:
        """Take a grant."""
        self.firsts.append(call.first)
        if self.is_refusing:
            raise TargetNotReachedError("refused")
        call.fence_over(1)


@pytest.fixture(name="control")
def control_fixture() -> NotedControl:
    """Return a control that answers."""
    return NotedControl()


@pytest.fixture(name="directory")
def directory_fixture() -> TargetDirectory:
    """Return a directory with two targets."""
    directory = TargetDirectory(StoreHealth(), 2.0)
    for name in ("a", "b"):
        target = make_target(name, started_ms=1)
        directory.targets_by_id[target.id] = target
    return directory


@pytest.fixture(name="state")
def state_fixture() -> AssignmentState:
    """Return the state of an assignment whose last segment is on the move."""
    state = AssignmentState()
    state.assignment = Assignment(
        segments=(
            Segment(first=0, last=99, owner="a@1", fence=5),
            Segment(first=100, last=199, owner="b@1", fence=6),
            Segment(first=200, last=299, owner="a@1", fence=7),
            Segment(first=300, last=65535, owner="a@1", fence=8, former_owner="b@1"),
        )
    )
    return state


@pytest.fixture(name="published")
def published_fixture() -> list[None]:
    """Return a list that grows with each publication."""
    return []


@pytest.fixture(name="renewer")
def renewer_fixture(
    control: NotedControl,
    directory: TargetDirectory,
    state: AssignmentState,
    published: list[None],
    sessions: TargetSessions,
) -> GrantRenewer:
    """Return a renewer."""
    publisher = SimpleNamespace(publish=lambda: published.append(None))
    return GrantRenewer(
        state=state,
        granter=Granter(
            control=cast(TargetControl, control),
            sessions=sessions,
            directory=directory,
            health_path="/health",
            regular_hold=lambda: MIN_REGULAR_HOLD,
            fences=Fences(),
            term=1,
        ),
        sessions=sessions,
        directory=directory,
        publisher=cast(KeyMapPublisher, publisher),
    )


async def test_owner_is_granted_all_but_what_moves(
    renewer: GrantRenewer,
    control: NotedControl,
    state: AssignmentState,
    published: list[None],
) -> None:
    """Keys on the move are granted by the move; new owners are published once."""
    await renewer.async_renew("a@1")
    await renewer.async_renew("a@1")
    assert control.firsts == [0, 200, 0, 200]
    assert state.granted_fences == {5, 7}
    assert len(published) == 2


async def test_target_that_does_not_answer_is_tried_once(
    renewer: GrantRenewer, control: NotedControl, state: AssignmentState
) -> None:
    """Each try at a silent target takes a time limit; the other segments can wait."""
    control.is_refusing = True
    await renewer.async_renew("a@1")
    assert control.firsts == [0]
    assert not state.granted_fences


async def test_life_that_was_replaced_is_not_renewed(
    renewer: GrantRenewer, control: NotedControl, directory: TargetDirectory
) -> None:
    """Symptom: keys went to a target that no instance sent requests to.

    Sequence: a target started again, and its start became known; the grants of its
    earlier life were renewed, and the new one took them until they were moved.
    Cause: what answers to the name was taken for the life that owned the keys.
    """
    directory.replaced_ids.add("a@1")
    former = directory.targets_by_id["a@1"]
    life = TargetLife(name="a", started_ms=2)
    directory.targets_by_id[life.id] = replace(former, life=life)
    await renewer.async_renew("a@1")
    assert not control.firsts


async def test_fence_of_a_grant_under_way_is_kept(
    renewer: GrantRenewer, sessions: TargetSessions
) -> None:
    """Symptom: a line told of a grant without an answer, but not of its fence.

    Sequence: keys on the move were granted to a target while its other grants were
    renewed. Cause: the renewal forgot the fences of all that it does not renew.
    """
    session = sessions.get_or_create("a@1")
    session.fence_for_connection(1, 8, lambda: 77)
    session.fence_for_connection(1, 99, lambda: 78)
    await renewer.async_renew("a@1")
    assert session.last_sent_fence(8) == 77
    assert session.last_sent_fence(99) is None
