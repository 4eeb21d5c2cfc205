"""Tests of store writes whose answers are lost."""

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


async def test_write_with_a_lost_answer_is_not_resent(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against a successful write that is reported as a conflict.

    If a reused connection closes without an answer, the HTTP session resends the PUT,
    and the retry conflicts with the first attempt.
    """
    await client.async_put("warm", b"{}")
    store.faults.lose_answer_next = 1
    with pytest.raises(StoreOutcomeUnknownError):
        await client.async_put("a", b"1", expect=ABSENT)
    assert store.counters.total("writes") == 2


async def test_conflict_contains_the_version(client: StoreClient) -> None:
    """The error of a conflicting write contains the current version."""
    version = await client.async_put("a", b"1", expect=ABSENT)
    with pytest.raises(StoreConflictError) as raised:
        await client.async_put("a", b"2", expect=ABSENT)
    assert raised.value.version == version


async def test_without_a_connection_nothing_was_written(
    store: StoreStandin, client: StoreClient
) -> None:
    """A refused connection is distinguished from a lost answer."""
    await store.async_stop()
    with pytest.raises(StoreUnavailableError):
        await client.async_put("a", b"1", expect=ABSENT)
