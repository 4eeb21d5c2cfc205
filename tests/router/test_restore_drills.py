"""Integration tests of store restores from a backup at critical moments."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import pytest

from swiftpin.helpers.clock import suspend_aware_now
from tests.router.site import Site
from tests.router.store_standin import StoreBackup

KEYS = range(0, 65536, 1021)
OUTAGE_SECONDS = 0.5
"""Duration of the store outage before the restore."""

REWRITE_DELAY = 0.8
"""Seconds after which operators and targets have rewritten the lost entries."""

RECOVERY_TIMEOUT = 15.0
SETTLE_TIME = 0.5
"""Seconds after a takeover in which the successor grants keys and plans moves."""


class Drill:
    """Restores the store of a site and records keys held by two targets at once."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.conflicting_keys: set[int] = set()
        site.store.era = "1"

    async def async_check_owners(self) -> None:
        """Check periodically which targets hold which keys, until cancelled."""
        while True:
            for key in KEYS:
                holders = [
                    target
                    for target in self.site.targets_by_name.values()
                    if target.holds(key)
                ]
                if len(holders) > 1:
                    self.conflicting_keys.add(key)
            await asyncio.sleep(0.02)

    async def async_restore(self, copy: StoreBackup) -> None:
        """Simulate a store outage followed by a restore from a copy."""
        await self.async_replace_content(copy)
        await self.async_write_targets()

    async def async_replace_content(self, copy: StoreBackup) -> None:
        """Simulate a store outage after which the store has the content of a copy."""
        store = self.site.store
        store.is_silent = True
        await asyncio.sleep(OUTAGE_SECONDS)
        store.restore(copy)
        store.is_silent = False

    async def async_write_targets(self) -> None:
        """Let the targets write their entries again."""
        store = self.site.store
        await asyncio.sleep(REWRITE_DELAY)
        for name, target in self.site.targets_by_name.items():
            if target.is_keyed:
                store.put("servers", name, target.entry("desk"))

    async def async_move_keys(self, *names: str) -> None:
        """Add empty targets and wait until keys have moved to each of them."""
        for name in names:
            target = await self.site.async_add_target(name, "desk")
            await self.site.async_wait(lambda target=target: bool(target.held))  # type: ignore[misc]

    def recorded(self) -> dict[str, Any]:
        """Return the recorded assignment."""
        record = self.site.store.objects_by_path["swiftpin-keys", "desk"]
        content: dict[str, Any] = record["specification"]
        return content

    def complete_era(self) -> int:
        """Return the era in which the recorded assignment is marked as complete."""
        return int(self.recorded().get("complete_era", 0))

    def era(self) -> int:
        """Return the era of the store."""
        return int(self.site.store.era or 0)

    async def async_lose_holder_with_its_moves(self) -> int:
        """Kill the lease holder after a restore, before it records its moves again.

        No other instance knows the moves. Return the term of the holder.
        """
        site = self.site
        copy = site.store.copy()
        await self.async_move_keys("joined-1", "joined-2")
        term = self.term()
        site.store.refused_kinds.add("swiftpin-keys")
        await self.async_replace_content(copy)
        lease = site.store.objects_by_path["swiftpin-lease", "assigner"]
        await site.async_wait(
            lambda: (
                site.store.objects_by_path["swiftpin-lease", "assigner"] is not lease
            )
        )
        await site.async_remove_router(self.holder())
        for router in site.routers_by_name.values():
            router._maps.maps_by_service.clear()
        return term

    def holder(self) -> str:
        """Return the name of the instance that holds the lease, or ""."""
        now = suspend_aware_now()
        for name, router in self.site.routers_by_name.items():
            if router._lease.is_held(now):
                return name
        return ""

    def term(self) -> int:
        """Return the newest term in which a key map was published."""
        return max(
            router._maps.version[0] for router in self.site.routers_by_name.values()
        )

    async def async_stop_holder(self) -> None:
        """Stop the lease holder as planned."""
        await self.site.async_wait(lambda: bool(self.holder()))
        name = self.holder()
        await self.site.routers_by_name[name].async_stop()
        await self.site.async_remove_router(name)

    async def async_wait_for_successor(self, term: int) -> None:
        """Wait until a lease holder of a later term serves all keys."""
        async with asyncio.timeout(RECOVERY_TIMEOUT):
            while self.term() <= term:  # noqa: ASYNC110  # no event to wait for
                await asyncio.sleep(0.02)
        await self.async_wait_until_served()
        await asyncio.sleep(SETTLE_TIME)

    async def async_all_served(self) -> bool:
        """Return whether every instance serves requests across the key space."""
        for via in list(self.site.routers_by_name):
            for key in range(0, 65536, 8191):
                reply = await self.site.async_call("/read/x", via=via, key=key)
                if reply.status != HTTPStatus.OK:
                    return False
        return True

    async def async_wait_until_served(self) -> None:
        """Wait until all keys are served again."""
        async with asyncio.timeout(RECOVERY_TIMEOUT):
            while not await self.async_all_served():  # noqa: ASYNC110  # no event to wait for
                await asyncio.sleep(0.1)


@pytest.fixture(name="drill")
async def drill_fixture(site: Site) -> AsyncIterator[Drill]:
    """Return a drill and check that no key was ever held by two targets."""
    drill = Drill(site)
    watch = asyncio.create_task(drill.async_check_owners())
    await site.async_wait(lambda: bool(site.leader()))
    yield drill
    watch.cancel()
    await asyncio.gather(watch, return_exceptions=True)
    assert not drill.conflicting_keys


async def test_restore_in_the_middle_of_a_move(drill: Drill) -> None:
    """Guards against keys held both by the owner in the copy and by the new one."""
    site = drill.site
    copy = site.store.copy()
    joined = await site.async_add_target("joined", "desk")
    await site.async_wait(lambda: bool(joined.granted_fences))
    await drill.async_restore(copy)
    await drill.async_wait_until_served()


async def test_restore_in_the_middle_of_a_takeover(drill: Drill) -> None:
    """Guards against a copy whose lease holder is gone, so that nobody assigns keys."""
    site = drill.site
    copy = site.store.copy()
    await site.async_remove_router(site.leader())
    await drill.async_restore(copy)
    await drill.async_wait_until_served()


async def test_restore_in_the_middle_of_a_planned_stop(drill: Drill) -> None:
    """Guards against a copy that returns the lease to a holder that has resigned."""
    site = drill.site
    copy = site.store.copy()
    stopped = site.leader()
    router = site.routers_by_name[stopped]
    stop = asyncio.create_task(router.async_stop())
    await asyncio.sleep(0.3)
    await drill.async_restore(copy)
    await stop
    await site.async_remove_router(stopped)
    await drill.async_wait_until_served()


async def test_restore_in_the_middle_of_a_release(drill: Drill) -> None:
    """Guards against replaced targets that are used again beside their successors."""
    site = drill.site
    copy = site.store.copy()
    old = [name for name, target in site.targets_by_name.items() if target.is_keyed]
    for name in old:
        await site.async_add_target(f"new-{name}", "desk")
        draining = site.targets_by_name[name].entry("desk", state="draining")
        site.store.put("servers", name, draining)
    await asyncio.sleep(0.5)
    await drill.async_restore(copy)
    for name in old:
        draining = site.targets_by_name[name].entry("desk", state="draining")
        site.store.put("servers", name, draining)
    await drill.async_wait_until_served()
    await site.async_wait(lambda: not any(site.is_owner(name) for name in old))


async def test_restore_while_all_instances_are_stopped(drill: Drill) -> None:
    """Guards against restarted instances that trust the owners in the copy."""
    site = drill.site
    copy = site.store.copy()
    joined = await site.async_add_target("joined", "desk")
    await site.async_wait(lambda: bool(joined.granted_fences))
    names = list(site.routers_by_name)
    for name in names:
        await site.async_remove_router(name)
    await drill.async_restore(copy)
    for name in names:
        await site.async_add_router(name)
    await drill.async_wait_until_served()


async def test_restore_twice_in_a_row(drill: Drill) -> None:
    """Guards against writes between two restores that count as newer than both."""
    site = drill.site
    copy = site.store.copy()
    await site.async_add_target("joined", "desk")
    await site.async_wait(lambda: site.is_owner("joined"))
    await drill.async_restore(copy)
    await drill.async_restore(copy)
    await drill.async_wait_until_served()


async def test_planned_stop_of_the_holder_after_a_restore(drill: Drill) -> None:
    """Guards against a successor that trusts a record from before the last moves."""
    site = drill.site
    copy = site.store.copy()
    await drill.async_move_keys("joined-1", "joined-2")
    term = drill.term()
    await drill.async_restore(copy)
    await drill.async_stop_holder()
    await drill.async_wait_for_successor(term)


async def test_kill_of_the_holder_before_it_has_recorded_again(drill: Drill) -> None:
    """Guards against a successor that trusts the record since the lease is new."""
    term = await drill.async_lose_holder_with_its_moves()
    drill.site.store.refused_kinds.clear()
    await drill.async_write_targets()
    await drill.async_wait_for_successor(term)


async def test_kill_of_the_holder_while_the_store_is_away(drill: Drill) -> None:
    """Guards against a successor that trusts the record of a hidden holder."""
    site = drill.site
    copy = site.store.copy()
    await drill.async_move_keys("joined-1", "joined-2")
    term = drill.term()
    restore = asyncio.create_task(drill.async_restore(copy))
    await asyncio.sleep(OUTAGE_SECONDS / 2)
    await site.async_remove_router(drill.holder())
    await restore
    await drill.async_wait_for_successor(term)


async def test_copy_from_before_the_first_record(drill: Drill) -> None:
    """Guards against a successor that divides all keys anew because of a restore."""
    site = drill.site
    copy = site.store.without_kinds(
        site.store.copy(), "swiftpin-keys", "swiftpin-lease"
    )
    await drill.async_move_keys("joined-1", "joined-2")
    term = drill.term()
    await drill.async_restore(copy)
    await drill.async_stop_holder()
    await drill.async_wait_for_successor(term)


async def test_copy_from_before_the_first_record_and_a_restarted_holder(
    drill: Drill,
) -> None:
    """Guards against an instance that takes a lost record for a first start."""
    site = drill.site
    copy = site.store.without_kinds(
        site.store.copy(), "swiftpin-keys", "swiftpin-lease"
    )
    await drill.async_move_keys("joined-1", "joined-2")
    term = drill.term()
    holder = drill.holder()
    site.store.refused_kinds |= {"swiftpin-keys", "swiftpin-lease"}
    await drill.async_replace_content(copy)
    for name in list(site.routers_by_name):
        await site.async_remove_router(name)
    site.store.refused_kinds.clear()
    await site.async_add_router(holder, first_start=False)
    await drill.async_write_targets()
    await drill.async_wait_for_successor(term)


async def test_kill_of_a_successor_that_ends_unrecorded_grants(drill: Drill) -> None:
    """Guards against a record that counts as complete before all grants have ended."""
    site = drill.site
    await site.async_add_router("i2", first_start=False)
    term = await drill.async_lose_holder_with_its_moves()
    copied = drill.recorded()
    site.store.refused_kinds.clear()
    await site.async_wait(lambda: drill.recorded() != copied)
    assert drill.complete_era() < drill.era()
    await site.async_remove_router(drill.holder())
    await drill.async_write_targets()
    await drill.async_wait_for_successor(term)
    assert drill.complete_era() == drill.era()


async def test_planned_stops_after_two_restores(drill: Drill) -> None:
    """Guards against a record of one restored copy that counts as that of another."""
    site = drill.site
    copy = site.store.copy()
    await drill.async_move_keys("joined-1")
    later_copy = site.store.copy()
    await drill.async_restore(copy)
    await drill.async_move_keys("joined-2")
    term = drill.term()
    await drill.async_restore(later_copy)
    await drill.async_stop_holder()
    await drill.async_wait_for_successor(term)


async def test_restore_while_the_holder_is_cut_off_from_the_store(
    drill: Drill, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a holder that goes on beside a successor from the copy."""
    site = drill.site
    copy = site.store.copy()
    await drill.async_move_keys("joined-1", "joined-2")
    term = drill.term()

    async def async_time_out(*args: object) -> None:
        raise TimeoutError

    store_client = site.routers_by_name[drill.holder()]._store
    monkeypatch.setattr(store_client, "_async_call", async_time_out)
    await drill.async_restore(copy)
    await drill.async_wait_for_successor(term)


async def test_restore_while_writes_are_not_answered(drill: Drill) -> None:
    """Guards against a move whose record was written, but not known as written."""
    site = drill.site
    copy = site.store.copy()
    await drill.async_move_keys("joined-1")
    term = drill.term()
    site.store.loses_writes = True
    await site.async_add_target("joined-2", "desk")
    await site.async_wait(lambda: "joined-2" in drill.recorded()["targets"])
    await drill.async_replace_content(copy)
    site.store.loses_writes = False
    await drill.async_write_targets()
    await drill.async_stop_holder()
    await drill.async_wait_for_successor(term)
