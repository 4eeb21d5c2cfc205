"""Tests of the journal and the quarantine through the store's HTTP interface."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import ClientSession
import pytest_asyncio

from swiftpin.dispatch.quarantine import Quarantine
from swiftpin.dispatch.quarantine_verdict import QuarantineVerdict
from swiftpin.dispatch.replayed import Replayed
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.store.client import StoreClient
from tests.dispatch.conftest import (
    WALL,
    FakeClock,
    JournalMaker,
    answered,
    begin_request,
)


@pytest_asyncio.fixture
async def client() -> AsyncIterator[StoreClient]:
    """Return a client of a store stand-in."""
    standin = StoreStandin()
    url = await standin.async_start()
    async with ClientSession() as session:
        yield StoreClient(session, url)
    await standin.async_stop()


async def test_takeover(client: StoreClient, clock: FakeClock) -> None:
    """A second holder finds the records of the first, pages included."""
    maker = JournalMaker(store=client, clock=clock)
    first = await maker.async_open("a/1", 2, page_limit=500, archive_limit=600)
    for number in range(10):
        await first.async_begin(begin_request(f"k{number}"), clock.now)
        await first.async_finish(f"k{number}", answered(), clock.now)
    heir = await maker.async_open("b/1", 4)
    for number in range(10):
        result = await heir.async_begin(begin_request(f"k{number}"), clock.now)
        assert result == Replayed(answer=answered())
    await maker.async_close()


async def test_suspicion(client: StoreClient, clock: FakeClock) -> None:
    """A suspicion written by one instance is read by another."""
    first = Quarantine(client, "desk", exclusive=True, wall=WALL)
    first.begin("t1", "bad", "POST /orders")
    first.target_died("t1", "boot-1", clock.now)
    await first.async_sync(clock.now)
    second = Quarantine(client, "desk", exclusive=True, wall=WALL)
    await second.async_sync(clock.now)
    assert second.check("bad") is QuarantineVerdict.ISOLATE
