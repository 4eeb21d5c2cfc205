"""Processor time of the queue for each request."""

from __future__ import annotations

import asyncio
from random import Random
import time
from typing import Final

from swiftpin.core import monotonic_now
from swiftpin.dispatch.queue_settings import QueueSettings
from swiftpin.dispatch.queued_request import QueuedRequest
from swiftpin.dispatch.target_queue import TargetQueue

REQUESTS: Final = 50_000
CALLERS: Final = 7
PRIORITIES: Final = 3
TIMEOUT: Final = 300.0


async def async_queue_cost(tasks: int) -> float:
    """Return microseconds a request when so many tasks contend for two slots.

    The yield to the loop that stands for the request's run is measured by itself
    and taken off.
    """
    queue = TargetQueue("target", QueueSettings(brownout_wait=TIMEOUT), Random(1))
    bare = await _async_measure(tasks, None)
    return await _async_measure(tasks, queue) - bare


async def _async_measure(tasks: int, queue: TargetQueue | None) -> float:
    """Return microseconds of processor time a request."""
    each = REQUESTS // tasks
    started = time.process_time()
    await asyncio.gather(*(_async_send(queue, n, each) for n in range(tasks)))
    return (time.process_time() - started) / (each * tasks) * 1_000_000


async def _async_send(queue: TargetQueue | None, number: int, count: int) -> None:
    """Send requests one after the other."""
    for _ in range(count):
        if queue is None:
            await asyncio.sleep(0)
            continue
        now = monotonic_now()
        request = QueuedRequest(
            request_id="r",
            caller=f"caller-{number % CALLERS}",
            class_name="lookup",
            priority=number % PRIORITIES,
            deadline=now + TIMEOUT,
        )
        async with queue.async_slot(request, now):
            await asyncio.sleep(0)
