"""Waiting for an event for a limited time."""

from __future__ import annotations

import asyncio


async def async_wait_event(event: asyncio.Event, timeout: float) -> bool:
    """Wait until an event is set, at most `timeout` seconds; return whether it is.

    `asyncio.wait_for` of Python 3.11 drops a cancellation that comes just after the
    event was set.
    """
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return False
    return True
