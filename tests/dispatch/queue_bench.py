"""A queue with requests that a test starts and ends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from random import Random

from swiftpin.dispatch.queue_settings import QueueSettings
from swiftpin.dispatch.queued_request import QueuedRequest
from swiftpin.dispatch.slot import Slot
from swiftpin.dispatch.target_queue import TargetQueue
from swiftpin.exceptions import NotRunError
from tests.dispatch.conftest import FakeClock

BOOKING, LOOKUP, DOWNLOAD = 0, 1, 2


def queued(name: str, **changes: object) -> QueuedRequest:
    """Return a lookup whose caller has the name's first letter."""
    request = QueuedRequest(
        request_id=name,
        caller=name[0],
        class_name="lookup",
        priority=LOOKUP,
        deadline=2000.0,
    )
    return replace(request, **changes)  # type: ignore[arg-type]


@dataclass(kw_only=True, slots=True)
class Bench:
    """A queue with requests that run until the test ends them."""

    clock: FakeClock
    queue: TargetQueue
    started: list[str] = field(default_factory=list)
    slots_by_name: dict[str, Slot] = field(default_factory=dict)
    refused_by_name: dict[str, NotRunError] = field(default_factory=dict)
    ends_by_name: dict[str, asyncio.Event] = field(default_factory=dict)
    tasks_by_name: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    async def async_send(self, *requests: QueuedRequest) -> None:
        """Send requests one after the other, and let them start or wait."""
        for request in requests:
            task = asyncio.create_task(self._async_run(request))
            self.tasks_by_name[request.request_id] = task
            await async_settle()

    async def async_end(self, *names: str) -> None:
        """End requests one after the other."""
        for name in names:
            self.ends_by_name[name].set()
            await async_settle()

    async def _async_run(self, request: QueuedRequest) -> None:
        name = request.request_id
        self.ends_by_name[name] = asyncio.Event()
        try:
            async with self.queue.async_slot(request, self.clock.now) as slot:
                self.started.append(name)
                self.slots_by_name[name] = slot
                await self.ends_by_name[name].wait()
        except NotRunError as err:
            self.refused_by_name[name] = err


async def async_settle() -> None:
    """Let all tasks run as far as they can."""
    for _ in range(5):
        await asyncio.sleep(0)


def make_bench(clock: FakeClock, **changes: object) -> Bench:
    """Return a bench whose queue has two slots unless the changes say otherwise."""
    settings = replace(QueueSettings(), **changes)  # type: ignore[arg-type]
    queue = TargetQueue("t1", settings, Random(1), clock=clock)
    return Bench(clock=clock, queue=queue)


async def async_train(bench: Bench, seconds: float) -> None:
    """Let one request take a time, so that the queue expects it of others."""
    await bench.async_send(queued("train"))
    bench.clock.now += seconds
    await bench.async_end("train")
