"""Fixtures of the membership tests."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import ClientSession
import pytest

from swiftpin.standins.instances_standin import InstancesStandin
from tests.membership.fleet import Fleet


@pytest.fixture
async def session() -> AsyncIterator[ClientSession]:
    """Return an HTTP client."""
    async with ClientSession() as client:
        yield client


@pytest.fixture
async def platform() -> AsyncIterator[InstancesStandin]:
    """Return the platform's instance list."""
    standin = InstancesStandin()
    await standin.async_start()
    yield standin
    await standin.async_stop()


@pytest.fixture
async def fleet(
    session: ClientSession, platform: InstancesStandin
) -> AsyncIterator[Fleet]:
    """Return a fleet without instances."""
    members = Fleet(session, platform)
    yield members
    await members.async_unload()
