"""Tests of the renewal of a service's grants."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import TargetNotReachedError
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.const import MIN_REGULAR_HOLD
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.grant_renewer import GrantRenewer
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.key_map_publisher import KeyMapPublisher
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.key_grant import GrantCall
from swiftpin.model.target_life import TargetLife
from swiftpin.platform.target_control import TargetControl
from tests.keyranges.targets import make_target


class RecordingControl:
    """Records grants; can simulate a target that refuses connections."""

    def __init__(self) -> None:
        self.granted_firsts: list[int] = []
        self.is_refusing = False

    async def async_grant(
        self, address: str, target_id: str, call: GrantCall, *, limit: float
    ) -> None:
        """Record and accept a grant, or refuse the connection."""
        self.granted_firsts.append(call.first)
        if self.is_refusing:
            raise TargetNotReachedError("refused")
        call.fence_for_connection(1)


@pytest.fixture(name="control")
def control_fixture() -> RecordingControl:
    """Return a control that accepts grants."""
    return RecordingControl()


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
    """Return the state of an assignment whose last segment is being moved."""
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
    """Return a list with one entry per publication."""
    return []


@pytest.fixture(name="renewer")
def renewer_fixture(
    control: RecordingControl,
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


async def test_owner_is_granted_all_keys_but_moving_ones(
    renewer: GrantRenewer,
    control: RecordingControl,
    state: AssignmentState,
    published: list[None],
) -> None:
    """Moving keys are granted by the move; each new owner is published only once."""
    await renewer.async_renew("a@1")
    await renewer.async_renew("a@1")
    assert control.granted_firsts == [0, 200, 0, 200]
    assert state.granted_fences == {5, 7}
    assert len(published) == 2


async def test_target_that_does_not_answer_is_called_once(
    renewer: GrantRenewer, control: RecordingControl, state: AssignmentState
) -> None:
    """Each call to a silent target blocks until its timeout, so only one is made."""
    control.is_refusing = True
    await renewer.async_renew("a@1")
    assert control.granted_firsts == [0]
    assert not state.granted_fences


async def test_replaced_life_is_not_renewed(
    renewer: GrantRenewer, control: RecordingControl, directory: TargetDirectory
) -> None:
    """Guards against granting keys to a life that instances send no requests to.

    After a known restart, the new life would accept renewals that are meant for the
    earlier one, since it answers under the same name.
    """
    directory.replaced_ids.add("a@1")
    former_life = directory.targets_by_id["a@1"]
    life = TargetLife(name="a", started_ms=2)
    directory.targets_by_id[life.id] = replace(former_life, life=life)
    await renewer.async_renew("a@1")
    assert not control.granted_firsts


async def test_fence_of_a_concurrent_grant_is_kept(
    renewer: GrantRenewer, sessions: TargetSessions
) -> None:
    """Guards against logging an unanswered grant without its fence.

    A renewal must not drop the fence of a segment that is being moved to the target
    at the same time, although it does not renew that segment.
    """
    session = sessions.get_or_create("a@1")
    session.fence_for_connection(1, 8, lambda: 77)
    session.fence_for_connection(1, 99, lambda: 78)
    await renewer.async_renew("a@1")
    assert session.last_sent_fence(8) == 77
    assert session.last_sent_fence(99) is None
