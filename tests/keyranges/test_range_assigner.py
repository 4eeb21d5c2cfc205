"""Tests of the assignment of one service's keys."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import FIRST_LIST_SETTLE_TIME, TargetDirectory
from swiftpin.exceptions import GrantRefusedError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges import range_assigner as range_assigner_module
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import MIN_REGULAR_HOLD, PLAN_INTERVAL
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.key_load import KeyLoad
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.range_assigner import RangeAssigner
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_speed import TargetSpeed
from swiftpin.model.key_grant import GrantCall, KeyGrant
from swiftpin.model.store_era import StoreEra
from swiftpin.model.target_life import TargetLife
from swiftpin.platform.store_client import StoreClient
from swiftpin.platform.target_control import TargetControl
from tests.keyranges.targets import KEYED_SERVICE, make_target


class SlowStore:
    """A store that writes a record only once the test allows it."""

    def __init__(self) -> None:
        self.may_respond = asyncio.Event()
        self.is_called = asyncio.Event()
        self.era = StoreEra()
        self.contents: list[object] = []

    async def async_replace(
        self, kind: str, name: str, content: object, revision: int | None
    ) -> int:
        """Write a record."""
        self.contents.append(content)
        self.is_called.set()
        await self.may_respond.wait()
        return 2


class FencedTargets:
    """Targets that refuse fences below the highest one they have seen."""

    def __init__(self) -> None:
        self.highest_fence_by_target: dict[str, int] = {}
        self.granted_by_target: dict[str, list[int]] = {"a": [], "b": []}
        self.released_by_target: dict[str, list[int]] = {"a": [], "b": []}

    async def async_grant(
        self, address: str, target_id: str, call: GrantCall, **kwargs: object
    ) -> None:
        """Accept or refuse a grant."""
        fence = call.fence_for_connection(1)
        if fence < self.highest_fence_by_target.get(target_id, 0):
            raise GrantRefusedError(target_id)
        self.granted_by_target[target_id].append(fence)

    async def async_release(
        self, address: str, target_id: str, grant: KeyGrant, **kwargs: object
    ) -> str:
        """Release keys."""
        self.released_by_target[target_id].append(grant.fence)
        return "handover"


@pytest.fixture(name="store")
def store_fixture() -> SlowStore:
    """Return a slow store."""
    return SlowStore()


@pytest.fixture(name="targets")
def targets_fixture() -> FencedTargets:
    """Return the targets."""
    return FencedTargets()


@pytest.fixture(name="assigner")
def assigner_fixture(store: SlowStore, targets: FencedTargets) -> RangeAssigner:
    """Return an assigner of the keys of two targets."""
    directory = TargetDirectory(StoreHealth(), 2.0)
    for name in ("a", "b"):
        directory.targets_by_id[name] = make_target(name)
    assigner = RangeAssigner(
        service="desk",
        client=cast(StoreClient, store),
        control=cast(TargetControl, targets),
        directory=directory,
        lease=cast(LeaseElection, SimpleNamespace(term=3, is_held=lambda now: True)),
        fences=Fences(),
        health=StoreHealth(),
        max_hold=10.0,
        health_path="/health",
        on_map=lambda key_map: None,
        count_members=lambda: 1,
        max_request_time=lambda: 1.0,
        get_service_spec=lambda: KEYED_SERVICE,
    )
    assigner._state.assignment = Assignment(
        segments=(
            Segment(first=0, last=99, owner="a", fence=5),
            Segment(first=100, last=65535, owner="b", fence=5),
        )
    )
    return assigner


async def test_move_has_a_higher_fence_than_any_renewal_before_it(
    assigner: RangeAssigner,
    store: SlowStore,
    targets: FencedTargets,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A key must not be granted under a fence below that of its previous owner.

    A move is planned and its fence allocated. While the record is being written, the
    owner refuses a renewal, because an earlier assigner used a higher fence, and is
    granted its keys under a newly allocated fence. The move must not keep its older,
    lower fence.
    """
    move = Move(first=0, last=99, source="a", to="b")
    monkeypatch.setattr(range_assigner_module, "plan_moves", lambda *_, **__: [move])
    targets.highest_fence_by_target["a"] = 2_000_009
    plan = asyncio.create_task(assigner._async_plan_once(0.0))
    await store.is_called.wait()
    await assigner._renewer.async_renew("a")
    store.may_respond.set()
    await plan
    while moves := assigner._moves._tasks_by_first_key:
        await asyncio.gather(*moves.values())
    assert targets.granted_by_target["a"]
    assert max(targets.granted_by_target["a"]) < min(targets.released_by_target["a"])
    assert targets.granted_by_target["b"]
    assert max(targets.granted_by_target["a"], default=0) < min(
        targets.granted_by_target["b"]
    )


async def test_owner_with_a_higher_fence_keeps_its_keys(
    assigner: RangeAssigner, targets: FencedTargets
) -> None:
    """Without a pending plan, a refused renewal is repeated under a new fence."""
    targets.highest_fence_by_target["a"] = 2_000_009
    await assigner._renewer.async_renew("a")
    assert targets.granted_by_target["a"] == [3_000_001]


async def test_keys_move_to_the_next_life_of_their_owner(
    assigner: RangeAssigner,
    store: SlowStore,
    targets: FencedTargets,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Keys of a restarted target must not stay unserved until its old grants expire.

    A target restarts, and a plan moves its keys to its new life. The new life, which
    answers under the same name, must be asked to release the keys and must not be
    mistaken for the recorded life.
    """
    directory = assigner._directory
    former = directory.targets_by_id.pop("a")
    for started_ms in (1, 2):
        life = TargetLife(name="a", started_ms=started_ms)
        directory.targets_by_id[life.id] = replace(former, life=life)
    directory.replaced_ids.add("a@1")
    segment = Segment(first=0, last=65535, owner="a@1", fence=5)
    assigner._state.assignment = Assignment(segments=(segment,))
    assigner._sessions.get_or_create("a@1").note_grant(
        suspend_aware_now(), MIN_REGULAR_HOLD
    )
    move = Move(first=0, last=65535, source="a@1", to="a@2")
    monkeypatch.setattr(range_assigner_module, "plan_moves", lambda *_, **__: [move])
    store.may_respond.set()
    started = suspend_aware_now()
    await assigner._async_plan_once(0.0)
    while moves := assigner._moves._tasks_by_first_key:
        await asyncio.gather(*moves.values())
    assert suspend_aware_now() < started + MIN_REGULAR_HOLD / 2
    assert targets.released_by_target["a"] < targets.granted_by_target["a"]
    assert [s.owner for s in assigner._state.current.segments] == ["a@2"]


def test_owners_missing_from_the_first_list_keep_their_keys(
    assigner: RangeAssigner,
) -> None:
    """Keys must not lose their owners after a store outage.

    The assigner stops during the outage and restarts at its end. Its first list of
    targets lacks those whose entries have expired. Planning moves of their keys would
    leave most keys without an owner for 5 s.
    """
    directory = assigner._directory
    directory.adopt_list((), 5, 10.0)
    assert not assigner._may_miss_live_owners(10.0)
    del directory.targets_by_id["a"]
    assert assigner._may_miss_live_owners(10.0)
    assert not assigner._may_miss_live_owners(10.0 + FIRST_LIST_SETTLE_TIME)


def test_other_services_are_planned_and_published_as_before(
    assigner: RangeAssigner,
) -> None:
    """Guards against changes for services without uneven demand on their keys."""
    assert type(assigner.load) is KeyLoad
    assert type(assigner.speed) is TargetSpeed
    assigner.load.add({7: 3})
    assert assigner.load.planning_rates() is assigner.load.rates_by_key
    assigner.speed.restore_factors({"a": 3.0})
    assigner.speed.add("a", 0.1, failed=False)
    usual = TargetSpeed()
    usual.add("a", 0.1, failed=False)
    assert assigner.speed.capacity("a", 2) == usual.capacity("a", 2)
    assert assigner.speed.published_factors() == {}
    assert assigner._uneven_planner is None


@pytest.fixture(name="plans")
async def plans_fixture(
    assigner: RangeAssigner, store: SlowStore, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[list[float]]:
    """Run the planning after a restore; return the times at which it planned."""
    loop = asyncio.get_running_loop()
    times: list[float] = []

    def plan(*args: object, **kwargs: object) -> list[Move]:
        times.append(loop.time())
        return []

    monkeypatch.setattr(range_assigner_module, "plan_moves", plan)
    assigner._record.mark_complete()
    for era in (0, 1):
        store.era.observe(era, 0.0)
    planning = asyncio.create_task(assigner._async_plan())
    yield times
    planning.cancel()
    await asyncio.gather(planning, return_exceptions=True)


async def test_assignment_is_written_again_after_a_restore(
    store: SlowStore, plans: list[float]
) -> None:
    """Guards against a restored copy that stays until the next move is planned."""
    store.may_respond.set()
    async with asyncio.timeout(5.0):
        while not plans:  # noqa: ASYNC110  # no event to wait for
            await asyncio.sleep(0.01)
    [content] = store.contents
    assert isinstance(content, dict)
    assert content["complete_era"] == 1


async def test_no_move_is_planned_before_the_assignment_is_written_again(
    store: SlowStore, plans: list[float]
) -> None:
    """Guards against a move that a successor can't tell from those before a restore."""
    async with asyncio.timeout(5.0):
        await store.is_called.wait()
    await asyncio.sleep(3 * PLAN_INTERVAL)
    assert not plans
    store.may_respond.set()
    async with asyncio.timeout(5.0):
        while not plans:  # noqa: ASYNC110  # no event to wait for
            await asyncio.sleep(0.01)
