"""Tests of waiting for an event for a limited time."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest

from swiftpin.helpers.event_wait import async_wait_event

LONG: Final = 5.0


async def test_event_is_awaited() -> None:
    """Guards against a wait that misses the event, before or after it is set."""
    event = asyncio.Event()
    waiting = asyncio.create_task(async_wait_event(event, LONG))
    await asyncio.sleep(0)
    event.set()
    assert await waiting
    assert await async_wait_event(event, LONG)


async def test_wait_ends_with_its_time() -> None:
    """Guards against a wait without end for an event that isn't set."""
    assert not await async_wait_event(asyncio.Event(), 0.01)


@pytest.mark.parametrize("steps", range(5))
async def test_cancellation_is_not_dropped(steps: int) -> None:
    """Guards against a task that goes on after it was cancelled as the event came."""
    event = asyncio.Event()

    async def async_run() -> None:
        while True:
            await async_wait_event(event, LONG)
            event.clear()

    task = asyncio.create_task(async_run())
    await asyncio.sleep(0)
    event.set()
    for _ in range(steps):
        await asyncio.sleep(0)
    task.cancel()
    done, _ = await asyncio.wait({task}, timeout=LONG)
    assert done
