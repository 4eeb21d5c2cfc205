"""Writes of the store client whose answers are lost."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import ClientSession
import pytest

from swiftpin.exceptions import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.store.client import ABSENT, StoreClient


@pytest.fixture
async def store() -> AsyncIterator[StoreStandin]:
    """Yield a running store."""
    standin = StoreStandin()
    await standin.async_start()
    yield standin
    await standin.async_stop()


@pytest.fixture
async def client(store: StoreStandin) -> AsyncIterator[StoreClient]:
    """Yield a client on a plain session."""
    async with ClientSession() as session:
        yield StoreClient(session, f"http://{store.address}", timeout=0.5)


async def test_a_lost_answer_is_unknown_and_sent_once(
    store: StoreStandin, client: StoreClient
) -> None:
    """Symptom: a write that took effect is reported as a lost race.

    Events: a connection that was used before ends after the write, without an answer.
    Cause: the HTTP session sends PUT a second time by itself, and the second try's
    condition meets the first one's effect.
    """
    await client.async_put("warm", b"{}")
    store.faults.lose_answer_next = 1
    with pytest.raises(StoreOutcomeUnknownError):
        await client.async_put("a", b"1", expect=ABSENT)
    assert store.counters.total("writes") == 2


async def test_a_lost_race_names_the_version(client: StoreClient) -> None:
    """The loser learns what it would have to build on."""
    version = await client.async_put("a", b"1", expect=ABSENT)
    with pytest.raises(StoreConflictError) as raised:
        await client.async_put("a", b"2", expect=ABSENT)
    assert raised.value.version == version


async def test_without_a_connection_nothing_was_written(
    store: StoreStandin, client: StoreClient
) -> None:
    """A refused connection is told from a lost answer."""
    await store.async_stop()
    with pytest.raises(StoreUnavailableError):
        await client.async_put("a", b"1", expect=ABSENT)
