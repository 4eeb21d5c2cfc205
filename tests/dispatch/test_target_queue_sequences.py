"""Random sequences of arrivals, ends, departures and time against the queue."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from swiftpin.dispatch.close_reason import CloseReason
from tests.dispatch.conftest import FakeClock
from tests.dispatch.queue_bench import Bench, async_settle, make_bench, queued

LENGTH = 4
STEPS = st.one_of(
    st.tuples(st.just("send"), st.integers(0, 11)),
    st.tuples(st.just("isolated"), st.integers(0, 2)),
    st.tuples(st.sampled_from(["end", "leave", "body", "wait"]), st.integers(0, 7)),
)


async def async_step(bench: Bench, action: str, number: int, name: str) -> None:
    """Carry out one step; `number` chooses the request that it is about."""
    live = [key for key, task in bench.tasks_by_name.items() if not task.done()]
    chosen = live[number % len(live)] if live else None
    match action:
        case "send":
            deadline = bench.clock.now + 2.0 + number
            caller = "abc"[number % 3]
            request = queued(
                name, caller=caller, priority=number // 4, deadline=deadline
            )
            await bench.async_send(request)
        case "isolated":
            await bench.async_send(queued(name, priority=number, isolated=True))
        case "wait":
            bench.clock.now += number / 4
            bench.queue.wake(bench.clock.now)
        case "end" if chosen is not None:
            bench.ends_by_name[chosen].set()
        case "leave" if chosen is not None:
            bench.tasks_by_name[chosen].cancel()
        case "body" if chosen in bench.slots_by_name:
            bench.slots_by_name[chosen].work_done(bench.clock.now)
    await async_settle()


def check(bench: Bench) -> None:
    """Assert what always holds."""
    queue = bench.queue
    running = [
        name
        for name, slot in bench.slots_by_name.items()
        if not bench.tasks_by_name[name].done()
    ]
    assert queue.working <= 2
    assert queue.connected == len(running) <= 3
    assert queue.waiting <= LENGTH
    isolated = [name for name in running if bench.slots_by_name[name].request.isolated]
    assert not isolated or len(running) == 1


@settings(max_examples=300, deadline=None, derandomize=True)
@given(steps=st.lists(STEPS, max_size=40))
def test_bounds(steps: list[tuple[str, int]]) -> None:
    """Limits hold, isolated requests are alone, and no slot is ever lost.

    Requests arrive, end, hang up while they wait, and time passes; at the end all
    requests end and the queue must be empty.
    """

    async def async_run() -> None:
        bench = make_bench(FakeClock(), length=LENGTH, connections=3)
        for index, (action, number) in enumerate(steps):
            await async_step(bench, action, number, f"r{index}")
            check(bench)
        while live := [t for t in bench.tasks_by_name.values() if not t.done()]:
            for event in bench.ends_by_name.values():
                event.set()
            bench.clock.now += 0.5
            bench.queue.wake(bench.clock.now)
            await asyncio.wait(live, timeout=0)
        assert (bench.queue.working, bench.queue.connected) == (0, 0)
        assert bench.queue.waiting == 0
        bench.queue.close(CloseReason.STOPPING)

    asyncio.run(asyncio.wait_for(async_run(), timeout=30))
