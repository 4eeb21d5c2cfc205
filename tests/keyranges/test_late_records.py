"""Tests of writes of the assignment record that the store applies late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
from types import SimpleNamespace
from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import (
    GrantRefusedError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges import range_assigner as range_assigner_module
from swiftpin.keyranges.assignment import Assignment, encode_assignment
from swiftpin.keyranges.const import CONTROL_TIMEOUT
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.range_assigner import RangeAssigner
from swiftpin.keyranges.segment import Segment
from swiftpin.model.key_grant import GrantCall, KeyGrant
from swiftpin.model.store_era import StoreEra
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.store_client import StoreClient
from swiftpin.platform.target_control import TargetControl
from tests.keyranges.targets import KEYED_SERVICE, make_target

MOVE = Move(first=0, last=99, source="a", to="b")
OTHER_KEYS = Segment(first=100, last=65535, owner="b", fence=5)


class LateStore:
    """A store with one record; it can delay writes and apply them later."""

    def __init__(self, assignment: Assignment) -> None:
        self.content: object = encode_assignment(assignment)
        self.revision = 1
        self.delays_writes = False
        self._late_writes: list[tuple[object, int | None]] = []
        self.era = StoreEra()

    async def async_get(self, kind: str, name: str, **kwargs: object) -> PlatformObject:
        """Return the record."""
        return PlatformObject(
            name=name,
            revision=self.revision,
            is_deleted=False,
            document={"specification": self.content},
        )

    async def async_replace(
        self,
        kind: str,
        name: str,
        content: object,
        revision: int | None,
        **kwargs: float,
    ) -> int:
        """Replace the record, or delay the write without an answer."""
        if self.delays_writes:
            self._late_writes.append((content, revision))
            raise StoreOutcomeUnknownError("no answer")
        if revision != self.revision:
            raise StoreConflictError(name, self.revision)
        return self._write(content)

    def apply_late_writes(self) -> None:
        """Apply the delayed writes whose expected revision is still current."""
        self.delays_writes = False
        for content, revision in self._late_writes:
            if revision == self.revision:
                self._write(content)
        self._late_writes.clear()

    def _write(self, content: object) -> int:
        if content != self.content:
            self.content = content
            self.revision += 1
        return self.revision


class FencedTargets:
    """Targets that refuse fences below the highest one they have seen."""

    def __init__(self) -> None:
        self.highest_fence_by_target: dict[str, int] = {}
        self.granted_by_target: dict[str, list[int]] = {"a": [], "b": []}

    async def async_grant(
        self, address: str, target_id: str, call: GrantCall, **kwargs: object
    ) -> None:
        """Accept or refuse a grant; only grants of the first keys are recorded."""
        fence = call.fence_for_connection(1)
        if call.first:
            return
        if fence < self.highest_fence_by_target.get(target_id, 0):
            raise GrantRefusedError(target_id)
        self.highest_fence_by_target[target_id] = fence
        self.granted_by_target[target_id].append(fence)

    async def async_release(
        self, address: str, target_id: str, grant: KeyGrant, **kwargs: object
    ) -> str:
        """Release keys."""
        highest_fence = self.highest_fence_by_target.get(target_id, 0)
        self.highest_fence_by_target[target_id] = max(highest_fence, grant.fence)
        return "handover"


@pytest.fixture(name="store")
def store_fixture() -> LateStore:
    """Return a store whose record assigns the first keys to one target."""
    first = Segment(first=0, last=99, owner="a", fence=5)
    return LateStore(Assignment(segments=(first, OTHER_KEYS)))


@pytest.fixture(name="targets")
def targets_fixture() -> FencedTargets:
    """Return the targets."""
    return FencedTargets()


@pytest.fixture(name="directory")
def directory_fixture() -> TargetDirectory:
    """Return a directory of two targets."""
    directory = TargetDirectory(StoreHealth(), 2.0)
    for name in ("a", "b"):
        directory.targets_by_id[name] = make_target(name)
    return directory


async def async_take_over(
    term: int, store: LateStore, targets: FencedTargets, directory: TargetDirectory
) -> RangeAssigner:
    """Return the assigner of a term after it loaded the record and finished moves."""
    assigner = RangeAssigner(
        service="desk",
        client=cast(StoreClient, store),
        control=cast(TargetControl, targets),
        directory=directory,
        lease=cast(LeaseElection, SimpleNamespace(term=term)),
        fences=Fences(),
        health=StoreHealth(),
        max_hold=10.0,
        health_path="/health",
        on_map=lambda key_map: None,
        count_members=lambda: 1,
        max_request_time=lambda: 0.0,
        get_service_spec=lambda: KEYED_SERVICE,
    )
    await assigner._async_load()
    await async_wait_for_moves(assigner)
    return assigner


async def async_wait_for_moves(assigner: RangeAssigner) -> None:
    """Wait until all moves have finished."""
    while moves := assigner._moves._tasks_by_first_key:
        await asyncio.gather(*moves.values())


@pytest.fixture(name="plan")
def plan_fixture(monkeypatch: pytest.MonkeyPatch) -> Callable[[Move], None]:
    """Return a function that sets the move in every plan."""

    def plan(move: Move) -> None:
        monkeypatch.setattr(
            range_assigner_module, "plan_moves", lambda *_, **__: [move]
        )

    return plan


def assert_fences_increased(targets: FencedTargets) -> None:
    """Assert that the second target's fences are above those of the first one."""
    highest = max(targets.granted_by_target["a"])
    assert min(targets.granted_by_target["b"], default=math.inf) > highest


async def test_plan_written_after_a_takeover_is_ignored(
    store: LateStore,
    targets: FencedTargets,
    directory: TargetDirectory,
    plan: Callable[[Move], None],
) -> None:
    """A key must not be granted under a fence below that of its previous owner.

    The first assigner's write of a plan gets no answer. The second one reads the record
    and grants the owner its keys under its own fence, which isn't recorded. If this
    takeover left the record at the revision that late writes expect, the store would
    then apply the plan, and a third assigner would read it and move the keys under the
    first term's fence.
    """
    plan(MOVE)
    first = await async_take_over(1, store, targets, directory)
    store.delays_writes = True
    await first._async_plan_once(0.0)
    store.delays_writes = False
    second = await async_take_over(2, store, targets, directory)
    targets.highest_fence_by_target["a"] = 1_000_009
    await second._renewer.async_renew("a")
    store.apply_late_writes()
    await async_take_over(3, store, targets, directory)
    assert_fences_increased(targets)


async def test_move_of_an_earlier_term_gets_a_fence_above_unrecorded_ones(
    store: LateStore,
    targets: FencedTargets,
    directory: TargetDirectory,
    plan: Callable[[Move], None],
) -> None:
    """A key must not be granted under a fence below that of its previous owner.

    An assigner's write of a plan gets no answer. The owner refuses a renewal and is
    granted its keys under a higher fence. Then the store applies the plan. If moves
    kept the fence of the term in which they were planned, the next assigner would move
    the keys under the lower fence in the plan.
    """
    plan(MOVE)
    first = await async_take_over(1, store, targets, directory)
    store.delays_writes = True
    await first._async_plan_once(0.0)
    targets.highest_fence_by_target["a"] = 900_000
    await first._renewer.async_renew("a")
    store.apply_late_writes()
    await async_take_over(2, store, targets, directory)
    assert targets.granted_by_target["b"]
    assert_fences_increased(targets)


async def test_late_plan_does_not_undo_moves_of_a_successor(
    store: LateStore,
    targets: FencedTargets,
    directory: TargetDirectory,
    plan: Callable[[Move], None],
) -> None:
    """Two targets must not hold the same keys.

    An assigner's writes of two plans get no answer. The store applies the first one,
    and a successor moves the keys. If its takeover left the record at the revision that
    late writes expect, the store would then apply the second plan, which doesn't
    include that move, and a third assigner would renew the former owner's grant.
    """
    plan(MOVE)
    first = await async_take_over(1, store, targets, directory)
    store.delays_writes = True
    await first._async_plan_once(0.0)
    store.apply_late_writes()
    # This reads the record back and continues from its revision.
    plan(Move(first=200, last=299, source="b", to="a"))
    await first._async_plan_once(0.0)
    store.delays_writes = True
    await first._async_plan_once(0.0)
    store.delays_writes = False
    await async_take_over(2, store, targets, directory)
    assert targets.granted_by_target["b"]
    store.apply_late_writes()
    third = await async_take_over(3, store, targets, directory)
    assert third._state.current.segment_of(0).owner == "b"


async def test_wait_for_running_requests_starts_at_the_release_of_a_predecessor(
    targets: FencedTargets, directory: TargetDirectory
) -> None:
    """A key must not be granted while its previous owner still works on it.

    An assigner is killed right after it has sent a release. The kernel may still
    deliver it for 0.6 s, and requests for the keys arrive until then. The successor's
    own release finds no keys and is answered immediately. The wait for the running
    requests must not start at the takeover.
    """
    moved = Segment(first=0, last=99, owner="b", fence=7, former_owner="a")
    store = LateStore(Assignment(segments=(moved, OTHER_KEYS)))
    started_at = suspend_aware_now()
    await async_take_over(2, store, targets, directory)
    assert targets.granted_by_target["b"]
    assert suspend_aware_now() >= started_at + CONTROL_TIMEOUT
