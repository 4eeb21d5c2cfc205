"""Tests of whole instances whose store comes back from an older copy."""

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
    """Return a store that tells its era."""
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


async def test_watch_from_before_the_restore_is_not_made(
    store: StoreStandin, client: StoreClient
) -> None:
    """A number that was given out again looked like one without changes."""
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


async def test_watch_that_shows_the_restore_is_not_taken(
    store: StoreStandin, client: StoreClient
) -> None:
    """Changes between the copy and a number given out again were missed."""
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
    """A record was replaced by one that was made for another of the same number."""
    copy = store.copy()
    store.put("kind", "a", {"x": 1})
    seen = (await client.async_get("kind", "a")).revision
    store.restore(copy)
    store.put("kind", "a", {"x": 2})
    assert (await client.async_get("kind", "a")).content == {"x": 2}
    with pytest.raises(StoreConflictError):
        await client.async_replace("kind", "a", {"x": 3}, seen)
    assert (await client.async_get("kind", "a")).content == {"x": 2}


async def test_write_that_shows_the_restore_does_not_count_as_done(
    store: StoreStandin, client: StoreClient
) -> None:
    """A lease was renewed over the record of whoever had taken it meanwhile."""
    copy = store.copy()
    store.put("kind", "a", {"x": 1})
    seen = (await client.async_get("kind", "a")).revision
    store.restore(copy)
    store.put("kind", "a", {"x": 2})
    with pytest.raises(StoreOutcomeUnknownError):
        await client.async_replace("kind", "a", {"x": 3}, seen)


@pytest.mark.parametrize("told", ["0", "x", "", "-1", "1e3", "9" * 30])
async def test_answer_of_an_earlier_or_unreadable_era_is_none(
    store: StoreStandin, client: StoreClient, told: str
) -> None:
    """An answer that was long on its way brought lost entries back."""
    await client.async_list("kind")
    store.era = told
    with pytest.raises(StoreUnavailableError):
        await client.async_list("kind")


async def test_answer_without_an_era_is_of_the_one_known(
    store: StoreStandin, client: StoreClient
) -> None:
    """Without the header nothing tells that the store was restored."""
    before = (await client.async_list("kind")).revision
    store.era = None
    assert (await client.async_list("kind")).revision == before


async def test_targets_are_known_after_a_restore(site: Site) -> None:
    """Targets that registered stayed unknown until the revisions had caught up."""
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
            "later" in {found.name for found in router._directory.present_targets()}
            for router in routers
        )

    await site.async_wait(is_known)
    await site.async_wait(site.is_served)


async def served_share(site: Site, via: str, seconds: float) -> float:
    """Return the share of requests for keys all over that are served for a while."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    served = asked = 0
    while loop.time() < until:
        reply = await site.async_call("/read/x", via=via, key=asked * 4099 % 65536)
        asked += 1
        served += reply.status == HTTPStatus.OK
        await asyncio.sleep(0.02)
    return served / asked


async def test_keys_are_served_on_after_a_copy_from_before_a_takeover(
    site: Site,
) -> None:
    """The copy named a holder that was gone, and nobody assigned keys."""
    site.store.era = "1"
    await site.async_wait(lambda: bool(site.leader()))
    former = site.leader()
    copy = site.store.copy()
    await site.async_remove_router(former)
    await site.async_wait(lambda: site.leader() not in ("", former))
    present = site.leader()
    await asyncio.sleep(0.5)
    site.store.restore(copy)
    assert await served_share(site, present, 4.0) == 1.0
    assert site.leader() == present


async def test_keys_stay_with_their_owners_after_a_copy_from_before_a_move(
    site: Site,
) -> None:
    """Two targets held the same keys once the copy had brought former owners back."""
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
