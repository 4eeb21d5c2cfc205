"""Fixtures of the stand-ins' tests."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import ClientSession
import pytest

from swiftpin.standins.store_standin import StoreStandin
from swiftpin.standins.target_options import TargetOptions
from swiftpin.standins.target_standin import TargetStandin
from swiftpin.store.client import StoreClient
from tests.standins.event_log import EventLog
from tests.standins.target_caller import TargetCaller


@pytest.fixture
async def session() -> AsyncIterator[ClientSession]:
    """Return a client session."""
    async with ClientSession() as client:
        yield client


@pytest.fixture
async def store() -> AsyncIterator[StoreStandin]:
    """Return a running store."""
    standin = StoreStandin()
    await standin.async_start()
    yield standin
    await standin.async_stop()


@pytest.fixture
def store_client(session: ClientSession, store: StoreStandin) -> StoreClient:
    """Return a client of the store."""
    return StoreClient(session, store.url)


@pytest.fixture
def event_log() -> EventLog:
    """Return the events that the target records."""
    return EventLog()


@pytest.fixture
def options() -> TargetOptions:
    """Return the settings of the target."""
    return TargetOptions(name="t1", slots=1, connections=2, work=0.0)


@pytest.fixture
async def target(
    options: TargetOptions, event_log: EventLog
) -> AsyncIterator[TargetStandin]:
    """Return a running target."""
    standin = TargetStandin(options, on_event=event_log.add)
    await standin.async_start()
    yield standin
    await standin.async_stop()


@pytest.fixture
def caller(session: ClientSession, target: TargetStandin) -> TargetCaller:
    """Return the target's holder and caller."""
    return TargetCaller(session, target.url)
