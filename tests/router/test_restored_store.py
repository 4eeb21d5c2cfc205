"""Tests of a store that is restored from an older copy."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus

import pytest

from swiftpin.exceptions import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.platform.store_client import StoreClient
from swiftpin.router.http_clients import HttpClients
from swiftpin.store_errors import HistoryGoneError
from tests.router.site import Site
from tests.router.store_standin import StoreStandin


@pytest.fixture(name="store")
async def store_fixture() -> AsyncIterator[StoreStandin]:
    """Return a store that sends its era."""
    store = StoreStandin()
    store.era = "1"
    await store.async_setup()
    yield store
    await store.async_unload()


@pytest.fixture(name="client")
async def client_fixture(store: StoreStandin) -> AsyncIterator[StoreClient]:
    """Return a client of that store."""
    clients = HttpClients()
    yield StoreClient(store.address, clients.store)
    clients.unload()


async def test_watch_from_before_the_restore_is_not_sent(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against a reused revision that looks like one without changes."""
    copy = store.copy()
    store.put("kind", "a", {"x": 1})
    seen = (await client.async_list("kind")).revision
    store.restore(copy)
    store.put("kind", "b", {"x": 2})
    assert (await client.async_list("kind")).revision > seen
    calls = len(store.calls)
    with pytest.raises(HistoryGoneError):
        await client.async_watch("kind", seen, 0.1)
    assert len(store.calls) == calls


async def test_watch_that_reveals_the_restore_is_discarded(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against missed changes between the copy and a reused revision."""
    copy = store.copy()
    store.put("kind", "a", {"x": 1})
    seen = (await client.async_list("kind")).revision
    store.restore(copy)
    store.put("kind", "b", {"x": 2})
    with pytest.raises(HistoryGoneError):
        await client.async_watch("kind", seen, 0.1)


async def test_write_for_an_object_from_before_the_restore_is_a_conflict(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against a write based on another record with the same revision."""
    copy = store.copy()
    store.put("kind", "a", {"x": 1})
    seen = (await client.async_get("kind", "a")).revision
    store.restore(copy)
    store.put("kind", "a", {"x": 2})
    assert (await client.async_get("kind", "a")).content == {"x": 2}
    with pytest.raises(StoreConflictError):
        await client.async_replace("kind", "a", {"x": 3}, seen)
    assert (await client.async_get("kind", "a")).content == {"x": 2}


async def test_write_that_reveals_the_restore_has_an_unknown_outcome(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against a lease renewal that overwrites a new holder's record."""
    copy = store.copy()
    store.put("kind", "a", {"x": 1})
    seen = (await client.async_get("kind", "a")).revision
    store.restore(copy)
    store.put("kind", "a", {"x": 2})
    with pytest.raises(StoreOutcomeUnknownError):
        await client.async_replace("kind", "a", {"x": 3}, seen)


@pytest.mark.parametrize("era", ["0", "x", "", "-1", "1e3", "9" * 30])
async def test_answer_of_an_earlier_or_invalid_era_is_discarded(
    store: StoreStandin, client: StoreClient, era: str
) -> None:
    """Guards against a delayed answer that brings lost entries back."""
    await client.async_list("kind")
    store.era = era
    with pytest.raises(StoreUnavailableError):
        await client.async_list("kind")


async def test_answer_without_an_era_belongs_to_the_known_era(
    store: StoreStandin, client: StoreClient
) -> None:
    """Without the header there is no sign that the store was restored."""
    before = (await client.async_list("kind")).revision
    store.era = None
    assert (await client.async_list("kind")).revision == before


async def test_targets_are_known_after_a_restore(site: Site) -> None:
    """Guards against new targets that stay unknown until the revisions catch up."""
    site.store.era = "1"
    copy = site.store.copy()
    routers = site.routers_by_name.values()
    for number in range(300):
        site.store.put("config", "spare", {"number": number})
    latest = site.store.revision

    def is_seen() -> bool:
        return all(router._directory.version >= latest for router in routers)

    await site.async_wait(is_seen)
    site.store.restore(copy)
    await site.async_add_target("later", "desk")

    def is_known() -> bool:
        return all(
            "later" in {found.name for found in router._directory.listed_targets()}
            for router in routers
        )

    await site.async_wait(is_known)
    await site.async_wait(site.is_served)


async def served_share(site: Site, via: str, seconds: float) -> float:
    """Return the share of served requests across the key space for some seconds."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    served = sent = 0
    while loop.time() < until:
        reply = await site.async_call("/read/x", via=via, key=sent * 4099 % 65536)
        sent += 1
        served += reply.status == HTTPStatus.OK
        await asyncio.sleep(0.02)
    return served / sent


async def test_keys_stay_served_after_a_restore_from_before_a_takeover(
    site: Site,
) -> None:
    """Guards against a copy whose lease holder is gone, so that nobody assigns keys."""
    site.store.era = "1"
    await site.async_wait(lambda: bool(site.leader()))
    former = site.leader()
    copy = site.store.copy()
    await site.async_remove_router(former)
    await site.async_wait(lambda: site.leader() not in ("", former))
    current = site.leader()
    await asyncio.sleep(0.5)
    site.store.restore(copy)
    assert await served_share(site, current, 4.0) == 1.0
    assert site.leader() == current


async def test_keys_keep_their_owners_after_a_restore_from_before_a_move(
    site: Site,
) -> None:
    """Guards against keys held by two targets after a copy restores former owners."""
    site.store.era = "1"
    copy = site.store.copy()
    joined = await site.async_add_target("joined", "desk")
    await site.async_wait(lambda: site.is_owner("joined"))
    await asyncio.sleep(0.5)
    site.store.restore(copy)
    await asyncio.sleep(0.5)
    site.store.put("servers", "joined", joined.entry("desk"))
    assert await served_share(site, "i0", 4.0) == 1.0
    assert site.is_owner("joined")
