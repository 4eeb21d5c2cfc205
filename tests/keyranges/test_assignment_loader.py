"""Tests of loading the assignment that an assigner starts from."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import StoreUnavailableError
from swiftpin.keyranges import assignment_loader as loader_module
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.assignment_loader import AssignmentLoader
from swiftpin.keyranges.assignment_record import AssignmentRecord
from swiftpin.keyranges.const import CLOCK_DRIFT_FACTOR, CONTROL_TIMEOUT, HOLD_MARGIN
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.hold_times import MAX_REGULAR_HOLD, HoldLimit
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.keyranges.unrecorded_grants import UnrecordedGrants
from swiftpin.model.store_era import StoreEra
from swiftpin.platform.target_control import TargetControl
from swiftpin.store_errors import ObjectMissingError
from tests.keyranges.targets import make_target

MAX_HOLD = 10.0


class FakeRecord:
    """A record that may exist, be missing or be unreadable."""

    revision = 1
    complete_era = 0

    def __init__(self) -> None:
        self.is_complete = True
        self.errors: list[Exception] = []
        self.assignment: Assignment | None = None

    async def async_take_over(self, allocate_fence: Callable[[], int]) -> Assignment:
        """Return the assignment."""
        if self.errors:
            raise self.errors.pop()
        if self.assignment is None:
            raise ObjectMissingError("desk")
        return self.assignment

    async def async_create(self, assignment: Assignment) -> None:
        """Store the initial assignment."""
        self.assignment = assignment

    async def async_replace(self, assignment: Assignment) -> bool:
        """Replace the assignment."""
        self.assignment = assignment
        return True

    def mark_complete(self) -> None:
        """Mark the record as complete."""
        self.is_complete = True


@pytest.fixture(name="record")
def record_fixture() -> FakeRecord:
    """Return a missing record."""
    return FakeRecord()


@pytest.fixture(name="directory")
def directory_fixture() -> TargetDirectory:
    """Return a directory with a target."""
    directory = TargetDirectory(StoreHealth(), 2.0)
    directory.targets_by_id["a@1"] = make_target("a", started_ms=1)
    return directory


@pytest.fixture(name="granter")
def granter_fixture(directory: TargetDirectory, sessions: TargetSessions) -> Granter:
    """Return a granter that sends nothing."""
    return Granter(
        control=cast(TargetControl, None),
        sessions=sessions,
        directory=directory,
        health_path="/health",
        regular_hold=lambda: 0.0,
        fences=Fences(),
        term=1,
    )


@pytest.fixture(name="make_loader")
def make_loader_fixture(
    record: FakeRecord,
    directory: TargetDirectory,
    granter: Granter,
    monkeypatch: pytest.MonkeyPatch,
    sessions: TargetSessions,
) -> Callable[[], AssignmentLoader]:
    """Return a factory for loaders that don't wait."""
    monkeypatch.setattr(loader_module, "TARGETS_SETTLE_TIME", 0.0)
    monkeypatch.setattr(loader_module, "READ_RETRY_DELAY", 0.0)
    return lambda: AssignmentLoader(
        service="desk",
        record=cast(AssignmentRecord, record),
        granter=granter,
        sessions=sessions,
        directory=directory,
        hold_limit=HoldLimit(MAX_HOLD),
        term=1,
        era=StoreEra(),
        unrecorded_grants=cast(UnrecordedGrants, None),
        may_have_lost_record=lambda: False,
    )


@pytest.mark.parametrize(("recorded", "hold"), [(5.9, 5.9), (None, MAX_HOLD)])
async def test_successor_waits_for_the_recorded_hold(
    record: FakeRecord,
    sessions: TargetSessions,
    make_loader: Callable[[], AssignmentLoader],
    recorded: float | None,
    hold: float,
) -> None:
    """Two targets must not hold the same keys after a takeover.

    The previous assigner sends long grants and then merges many segments into a few. A
    successor that derived the duration of the grants from the number of segments would
    consider them expired too early.
    """
    record.assignment = Assignment(
        segments=(
            Segment(first=0, last=65535, owner="b@1", fence=5, former_owner="a@1"),
        ),
        max_hold=recorded,
    )
    loader = make_loader()
    assert await loader.async_load(100.0) == record.assignment
    ends_at = 100.0 + CONTROL_TIMEOUT + hold * CLOCK_DRIFT_FACTOR + HOLD_MARGIN
    assert sessions.get_or_create("a@1").held_until == pytest.approx(ends_at)
    assert sessions.get_or_create("b@1").held_until == pytest.approx(ends_at)
    assert loader.has_granted_keys


async def test_read_is_retried_while_the_store_is_unavailable(
    record: FakeRecord, make_loader: Callable[[], AssignmentLoader]
) -> None:
    """An unreadable record is not mistaken for a missing one."""
    record.errors = [StoreUnavailableError("unavailable") for _ in range(3)]
    record.assignment = Assignment(
        segments=(Segment(first=0, last=65535, owner="a@1", fence=5),)
    )
    assert await make_loader().async_load(100.0) == record.assignment
    assert not record.errors


async def test_initial_assignment_names_target_lives(
    record: FakeRecord, make_loader: Callable[[], AssignmentLoader]
) -> None:
    """The first record contains target lives and the duration of the longest grant."""
    loader = make_loader()
    assignment = await loader.async_load(100.0)
    assert {segment.owner for segment in assignment.segments} == {"a@1"}
    assert assignment.max_hold is not None
    assert not loader.has_granted_keys
    assert record.assignment == assignment


class FakeGrants:
    """Records which targets have to end their unrecorded grants."""

    def __init__(self) -> None:
        self.revoked: list[tuple[Assignment, set[str]]] = []
        self.holds: list[float] = []

    async def async_revoke(
        self,
        assignment: Assignment,
        named_ids: set[str],
        *,
        hold: float,
        **kwargs: object,
    ) -> None:
        """Record the call."""
        self.revoked.append((assignment, named_ids))
        self.holds.append(hold)


async def test_grants_are_ended_before_an_incomplete_record_is_used(
    record: FakeRecord, make_loader: Callable[[], AssignmentLoader]
) -> None:
    """Guards against two targets with the same keys after a restore of the store."""
    record.is_complete = False
    record.assignment = Assignment(
        segments=(
            Segment(first=0, last=65535, owner="b@1", fence=5, former_owner="a@1"),
        )
    )
    loader, grants = make_loader(), FakeGrants()
    loader._unrecorded_grants = cast(UnrecordedGrants, grants)
    loaded = await loader.async_load(100.0)
    assert [named_ids for _, named_ids in grants.revoked] == [{"a@1", "b@1"}]
    assert record.assignment == loaded
    assert record.is_complete
    assert not loader.has_granted_keys
    assert not loaded.segments[0].former_owner


@pytest.mark.parametrize("may_have_been_lost", [True, False])
async def test_grants_are_ended_before_a_lost_record_is_replaced(
    record: FakeRecord,
    make_loader: Callable[[], AssignmentLoader],
    *,
    may_have_been_lost: bool,
) -> None:
    """Guards against a division of keys that targets still hold after a restore."""
    loader, grants = make_loader(), FakeGrants()
    loader._unrecorded_grants = cast(UnrecordedGrants, grants)
    loader._may_have_lost_record = lambda: may_have_been_lost
    assert await loader.async_load(100.0) == record.assignment
    assert bool(grants.revoked) is may_have_been_lost


@pytest.mark.parametrize(
    ("recorded", "hold"),
    [(4.4, MAX_REGULAR_HOLD), (9.0, 9.0), (None, MAX_HOLD)],
)
async def test_unrecorded_grants_may_be_as_long_as_recorded_ones(
    record: FakeRecord,
    make_loader: Callable[[], AssignmentLoader],
    recorded: float | None,
    hold: float,
) -> None:
    """Guards against grants of another version that outlast the wait for them."""
    record.is_complete = False
    record.assignment = Assignment(
        segments=(Segment(first=0, last=65535, owner="a@1", fence=5),),
        max_hold=recorded,
    )
    loader, grants = make_loader(), FakeGrants()
    loader._unrecorded_grants = cast(UnrecordedGrants, grants)
    await loader.async_load(100.0)
    assert grants.holds == [hold]
