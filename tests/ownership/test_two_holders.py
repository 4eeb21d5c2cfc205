"""Two holders of one group that reach different targets."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import ClientSession
import pytest

from swiftpin.core import monotonic_now
from swiftpin.ownership.group_holder import GroupHolder
from swiftpin.ownership.slice_grants import SliceGrants
from tests.ownership.holder_pair import HolderPair
from tests.ownership.world import World

LOST = "t0"


@pytest.fixture
async def wide_world() -> AsyncIterator[World]:
    """Yield five targets without instances."""
    world = World(5, unchecked=False)
    await world.async_start(0)
    yield world
    await world.async_stop()


@pytest.fixture
async def pair(wide_world: World) -> AsyncIterator[HolderPair]:
    """Yield the makings of two holders."""
    async with ClientSession() as session:
        yield HolderPair(wide_world, session)


def slices_of(holder: GroupHolder, target: str) -> set[int]:
    """Return the slices that a holder gives to a target."""
    return {
        slice_id
        for slice_id, item in holder.record.slices_by_id.items()
        if item.target == target
    }


async def async_split_brain(world: World, pair: HolderPair) -> None:
    """Let O move a lost target's slices to one that N cannot reach; N takes over."""
    first = await pair.async_first()
    record = first.record
    first.start()
    await world.async_until(lambda: first.send_until(monotonic_now()) is not None)
    lost_slices = slices_of(first, LOST)
    pair.cut.add(("O/1", LOST))
    await world.async_until(lambda: not slices_of(first, LOST))
    hidden = first.record.slices_by_id[min(lost_slices)].target
    moved = slices_of(first, hidden) & lost_slices
    await world.async_until(lambda: world.holds({hidden}, moved))
    pair.cut_after_fence.add(("N/1", LOST))
    others = set(world.targets_by_id) - {hidden, LOST}
    pair.cut.add(("N/1", hidden))
    pair.cut.update(("O/1", target) for target in others)
    second = pair.second(record)
    second.start()
    try:
        await world.async_until(lambda: not slices_of(second, LOST))
        await world.async_until(lambda: second.send_until(monotonic_now()) is not None)
        await world.async_until(lambda: world.holds(set(world.targets_by_id), moved))
    finally:
        await first.async_stop()
        await second.async_stop()


async def test_slices_moved_without_the_store_are_not_moved_again(
    wide_world: World, pair: HolderPair
) -> None:
    """Symptom: a slice has two owners after a takeover without the store.

    Events: O loses a target and moves its slices, unsaved, to one that N cannot
    reach; N takes over, fences the lost target, loses it too and moves the slices.
    Cause: taking the end of a target's grants for the end of the slice's ownership.
    Found by `spec/wide` in the third version of the protocol.
    """
    await async_split_brain(wide_world, pair)
    assert wide_world.overlaps() == []


async def test_without_asking_everybody_the_slices_overlap(
    wide_world: World, pair: HolderPair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Show that the test above fails under the third version's rule."""
    monkeypatch.setattr(SliceGrants, "may_leave_lost", lambda *_: True)
    await async_split_brain(wide_world, pair)
    assert wide_world.overlaps() != []
