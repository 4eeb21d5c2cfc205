"""Integration tests of store restores from a backup at critical moments."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus

import pytest

from tests.router.site import Site
from tests.router.store_standin import StoreBackup

KEYS = range(0, 65536, 1021)
OUTAGE_SECONDS = 0.5
"""Duration of the store outage before the restore."""

REWRITE_DELAY = 0.8
"""Seconds after which operators and targets have rewritten the lost entries."""

RECOVERY_TIMEOUT = 15.0


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
        store = self.site.store
        store.is_silent = True
        await asyncio.sleep(OUTAGE_SECONDS)
        store.restore(copy)
        store.is_silent = False
        await asyncio.sleep(REWRITE_DELAY)
        for name, target in self.site.targets_by_name.items():
            if target.is_keyed:
                store.put("servers", name, target.entry("desk"))

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
