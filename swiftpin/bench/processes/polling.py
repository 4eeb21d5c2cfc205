"""Wait for something that gives no event."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

POLL_INTERVAL: Final = 0.02


async def async_poll(
    predicate: Callable[[], bool],
    timeout: float,
    *,
    interval: float = POLL_INTERVAL,
) -> None:
    """Return once the predicate holds; raises `TimeoutError` after `timeout` seconds.

    For the state of other processes and files, which the event loop cannot await.
    """
    async with asyncio.timeout(timeout):
        while True:
            if predicate():
                return
            await asyncio.sleep(interval)
