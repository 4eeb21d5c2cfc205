"""Deadlines under one timer."""

from __future__ import annotations

import asyncio

import pytest

from swiftpin.gateway.deadline_watch import DeadlineWatch


async def test_passed_deadline_ends_the_block() -> None:
    """A block that waits longer than its deadline ends with `TimeoutError`."""
    watch = DeadlineWatch()
    asyncio.get_running_loop().call_soon(watch.expire, 5.02)
    with pytest.raises(TimeoutError), watch.until(5.0):
        await asyncio.Event().wait()
    assert asyncio.current_task().cancelling() == 0  # type: ignore[union-attr]
    watch.unload()


async def test_earlier_time_ends_nothing() -> None:
    """A deadline is never noticed too early."""
    watch = DeadlineWatch()
    with watch.until(5.0):
        watch.expire(5.0)
        await asyncio.sleep(0)
    watch.unload()


async def test_ended_block_is_not_watched() -> None:
    """A deadline that passes after its block ended cancels nobody."""
    watch = DeadlineWatch()
    with watch.until(5.0):
        pass
    watch.expire(6.0)
    await asyncio.sleep(0)
    watch.unload()


async def test_cancellation_by_others_goes_on() -> None:
    """Symptom: a request whose caller left is answered as if it were late.

    The caller leaves in the same turn of the loop in which the deadline passes. Taken
    for the deadline's, its cancellation would be swallowed.
    """
    watch = DeadlineWatch()
    waiting = asyncio.Event()

    async def async_serve() -> None:
        with watch.until(5.0):
            waiting.set()
            await asyncio.Event().wait()

    task = asyncio.create_task(async_serve())
    await waiting.wait()
    watch.expire(6.0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    watch.unload()


async def test_timer_runs_only_while_something_is_watched() -> None:
    """An instance at rest is not woken by deadlines."""
    watch = DeadlineWatch()
    assert watch._timer is None
    with watch.until(asyncio.get_running_loop().time()):
        assert watch._timer is not None
    watch.expire(asyncio.get_running_loop().time() + 1.0)
    watch._on_timer()
    assert watch._timer is None


async def test_earlier_deadline_is_not_kept_by_a_later_one() -> None:
    """The timer is brought forward by a deadline before the one that it waits for."""
    watch = DeadlineWatch()
    now = asyncio.get_running_loop().time()
    with (
        watch.until(now + 30.0),
        pytest.raises(TimeoutError),
        watch.until(now + 0.05),
    ):
        await asyncio.sleep(5.0)
    watch.unload()


async def test_timer_sleeps_while_nothing_is_due(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: an instance with few requests woke a hundred times a second.

    Sequence: requests with deadlines of seconds came and ended. Cause: the timer looked
    at every tick, also at those without a deadline.
    """
    watch = DeadlineWatch()
    looks = 0
    expire = watch.expire

    def count(now: float) -> None:
        nonlocal looks
        looks += 1
        expire(now)

    monkeypatch.setattr(watch, "expire", count)
    now = asyncio.get_running_loop().time()
    for number in range(20):
        with watch.until(now + 0.1 + number / 100):
            pass
    with watch.until(now + 30.0):
        await asyncio.sleep(0.4)
    assert looks <= 1
    watch.unload()
