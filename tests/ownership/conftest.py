"""Fixtures for tests of ownership."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from tests.ownership.world import World


@pytest.fixture
async def world() -> AsyncIterator[World]:
    """Yield three instances, three targets that check grants, and a store."""
    world = World(3, unchecked=False)
    await world.async_start(3)
    yield world
    await world.async_stop()


@pytest.fixture
async def unchecked_world() -> AsyncIterator[World]:
    """Return the same with targets that do not check grants."""
    world = World(3, unchecked=True)
    await world.async_start(3)
    yield world
    await world.async_stop()
