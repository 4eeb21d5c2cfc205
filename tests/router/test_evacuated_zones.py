"""Integration tests of the evacuation and return of an availability zone."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from swiftpin.keyranges.const import KEY_COUNT
from tests.router.site import BOUNDS, COLD_RATE, Site

SAMPLE = range(0, KEY_COUNT, 997)
ZONE = "z2"


@pytest.fixture(name="two_zones")
async def two_zones_fixture(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Site]:
    """Return a running site whose targets are in two zones."""
    site = Site(monkeypatch)
    try:
        await site.async_setup(targets=2)
        for name, service in (("e0", "desk"), ("e1", "desk"), ("f0", "vault")):
            await site.async_add_target(name, service, zone=ZONE)
        await site.async_wait(lambda: site.is_owner("e0") and site.is_owner("e1"))
        await site.async_wait(lambda: all(owner_of(site, key) for key in SAMPLE))
        yield site
    finally:
        await site.async_unload()


def owner_of(site: Site, key: int) -> str:
    """Return the target that holds a key, empty if none does."""
    names = [name for name, target in site.targets_by_name.items() if target.holds(key)]
    assert len(names) <= 1
    return names[0] if names else ""


def executions_in_zone(site: Site) -> int:
    """Return how many requests the targets of the evacuated zone executed."""
    return sum(len(site.targets_by_name[name].runs) for name in ("e0", "e1", "f0"))


async def async_request_keys(site: Site, stop: asyncio.Event) -> list[int]:
    """Request the sampled keys in turn until stopped; return all statuses."""
    statuses = []
    while not stop.is_set():
        for key in SAMPLE[::6]:
            statuses.append((await site.async_call("/read/x", key=key)).status)
    return statuses


async def test_keys_leave_an_evacuated_zone_without_failed_requests(
    two_zones: Site,
) -> None:
    """Guards against requests to an evacuated zone and failures during the moves."""
    site = two_zones
    stop = asyncio.Event()
    request_task = asyncio.create_task(async_request_keys(site, stop))
    site.store.put("evacuations", ZONE, {})
    assert BOUNDS.evacuation_limit is not None
    try:
        async with asyncio.timeout(BOUNDS.evacuation_limit):
            while any(owner_of(site, key) in ("e0", "e1") for key in SAMPLE):  # noqa: ASYNC110  # no event to wait for
                await asyncio.sleep(0.01)
    finally:
        stop.set()
        statuses = await request_task
    assert set(statuses) == {200}
    before = executions_in_zone(site)
    for key in SAMPLE:
        assert (await site.async_call("/read/x", key=key)).status == 200
    for _ in range(10):
        assert (await site.async_call("/files/x", key=None)).status == 200
    assert executions_in_zone(site) == before


async def test_returning_zone_gets_no_more_than_the_cold_limit(
    two_zones: Site,
) -> None:
    """Guards against a burst of requests to cold targets after an evacuation."""
    site = two_zones
    site.store.put("evacuations", ZONE, {})
    await site.async_wait(lambda: not any(owner_of(site, k) == "e0" for k in SAMPLE))
    before = len(site.targets_by_name["f0"].runs)
    site.store.remove("evacuations", ZONE)
    calls = [site.async_call("/files/x", key=None) for _ in range(60)]
    await asyncio.gather(*calls)
    await asyncio.sleep(0.5)
    limit = BOUNDS.cold_limit(COLD_RATE)
    assert len(site.targets_by_name["f0"].runs) - before <= limit
    await site.async_wait(lambda: any(owner_of(site, k) == "e0" for k in SAMPLE))
