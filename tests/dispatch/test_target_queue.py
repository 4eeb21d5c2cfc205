"""Tests of a target's queue."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from swiftpin.dispatch.close_reason import CloseReason
from swiftpin.dispatch.exceptions import SliceMovedError
from swiftpin.dispatch.queue_settings import QueueSettings
from swiftpin.dispatch.slot import Slot
from swiftpin.dispatch.target_queue import TargetQueue
from swiftpin.exceptions import (
    DeadlineTooShortError,
    NoOwnerError,
    NotRunError,
    ShuttingDownError,
)
from tests.dispatch.conftest import FakeClock
from tests.dispatch.queue_bench import (
    BOOKING,
    DOWNLOAD,
    async_settle,
    async_train,
    make_bench,
    queued,
)


async def test_slots(clock: FakeClock) -> None:
    """No more requests work at once than the target has slots."""
    bench = make_bench(clock)
    await bench.async_send(queued("a1"), queued("b1"), queued("c1"))
    assert bench.started == ["a1", "b1"]
    await bench.async_end("a1")
    assert bench.started == ["a1", "b1", "c1"]


async def test_slot_is_free_while_body_is_read(clock: FakeClock) -> None:
    """A slot is used again while an answer is still read; connections are bounded."""
    bench = make_bench(clock, slots=1, connections=2)
    await bench.async_send(queued("a1"), queued("b1"), queued("c1"))
    bench.slots_by_name["a1"].work_done(clock.now)
    await async_settle()
    bench.slots_by_name["b1"].work_done(clock.now)
    await async_settle()
    assert bench.started == ["a1", "b1"]
    await bench.async_end("a1")
    assert bench.started == ["a1", "b1", "c1"]


async def test_order(clock: FakeClock) -> None:
    """Priority goes first, then turns between callers, then the deadline."""
    bench = make_bench(clock, slots=1)
    await bench.async_send(queued("x"), queued("d1", priority=DOWNLOAD))
    await bench.async_send(queued("a1"), queued("a2", deadline=1500.0), queued("b1"))
    await bench.async_send(queued("a3"), queued("k1", priority=BOOKING))
    await bench.async_end("x", "k1", "a2", "b1", "a1", "a3")
    assert bench.started == ["x", "k1", "a2", "b1", "a1", "a3", "d1"]


async def test_caller_that_resends_for_ever(clock: FakeClock) -> None:
    """A caller never gets through beside one that fills the queue.

    One caller sends again whatever happens and keeps the queue full; another sends
    a single request of the same class.
    """
    bench = make_bench(clock, slots=1, length=5)
    await bench.async_send(*(queued(f"a{number}") for number in range(8)))
    assert set(bench.refused_by_name) == {"a6", "a7"}
    await bench.async_send(queued("b1"))
    assert "b1" not in bench.refused_by_name
    await bench.async_end("a0", "a1")
    assert bench.started == ["a0", "a1", "b1"]


async def test_displacement(clock: FakeClock) -> None:
    """A full queue gives up its worst class first, with spread times to come back."""
    bench = make_bench(clock, slots=1, length=3)
    await bench.async_send(queued("x"), queued("a1"))
    downloads = [queued(f"{name}1", priority=DOWNLOAD) for name in "de"]
    await bench.async_send(*downloads)
    bookings = [queued(f"{name}1", priority=BOOKING) for name in "jklm"]
    await bench.async_send(*bookings)
    assert list(bench.refused_by_name) == ["d1", "e1", "a1", "m1"]
    times = {error.retry_after for error in bench.refused_by_name.values()}
    assert None not in times
    assert len(times) == 4


async def test_early_refusal(clock: FakeClock) -> None:
    """A request that cannot end in time is refused at once."""
    bench = make_bench(clock, slots=1)
    await async_train(bench, 10.0)
    await bench.async_send(queued("a1"), queued("b1"))
    await bench.async_send(queued("c1", deadline=clock.now + 15.0))
    assert isinstance(bench.refused_by_name["c1"], DeadlineTooShortError)
    with pytest.raises(DeadlineTooShortError):
        bench.queue.check(queued("d1", deadline=clock.now + 15.0), clock.now)
    bench.queue.check(queued("d1", deadline=clock.now + 60.0), clock.now)


async def test_estimates_fade(clock: FakeClock) -> None:
    """A class stays refused for ever after one slow spell.

    The estimate is above every deadline, so nothing is sent that would correct it.
    """
    bench = make_bench(clock, slots=1)
    await async_train(bench, 10.0)
    await bench.async_send(queued("x", class_name="other"))
    await bench.async_send(queued("a1", deadline=clock.now + 5.0))
    assert "a1" in bench.refused_by_name
    clock.now += 30.0
    await bench.async_send(queued("a2", deadline=clock.now + 5.0))
    assert "a2" not in bench.refused_by_name


async def test_idle_target_gets_a_try(clock: FakeClock) -> None:
    """An idle target is tried whatever the estimate says."""
    bench = make_bench(clock)
    await async_train(bench, 10.0)
    await bench.async_send(queued("a1", deadline=clock.now + 1.0))
    assert "a1" in bench.started


async def test_late_waiters(clock: FakeClock) -> None:
    """A waiting request is refused once it cannot end in time any more."""
    bench = make_bench(clock, slots=1)
    await bench.async_send(queued("x"), queued("a1", deadline=clock.now + 3.0))
    clock.now += 4.0
    bench.queue.wake(clock.now)
    await async_settle()
    assert isinstance(bench.refused_by_name["a1"], DeadlineTooShortError)
    assert bench.queue.waiting == 0


async def test_late_waiters_by_timer() -> None:
    """The queue itself notices a deadline that passes."""
    queue = TargetQueue("t1", QueueSettings(slots=1), Random(1))
    now = queue._clock()
    async with queue.async_slot(queued("x", deadline=now + 60.0), now):
        with pytest.raises(DeadlineTooShortError):
            await queue.async_acquire(
                Slot(queue, queued("a", deadline=now + 0.01), now)
            )


async def test_brownout(clock: FakeClock) -> None:
    """Under overload downloads are refused before lookups, bookings never."""
    bench = make_bench(clock, slots=1, brownout_wait=5.0)
    await async_train(bench, 10.0)
    await bench.async_send(queued("x"), queued("a1"))
    await bench.async_send(queued("d1", priority=DOWNLOAD), queued("a2"))
    assert list(bench.refused_by_name) == ["d1"]
    await bench.async_send(queued("k1", priority=BOOKING), queued("a3"))
    assert list(bench.refused_by_name) == ["d1", "a3"]
    await bench.async_send(queued("k2", priority=BOOKING))
    assert list(bench.refused_by_name) == ["d1", "a3"]


async def test_ramp(clock: FakeClock) -> None:
    """A target that has just started gets its slots one after the other."""
    bench = make_bench(clock, slots=3, ramp_time=4.0)
    bench.queue.start_ramp(clock.now)
    await bench.async_send(*(queued(f"{name}1") for name in "abcd"))
    assert len(bench.started) == 1
    for started in (2, 3, 3):
        clock.now += 2.0
        bench.queue.wake(clock.now)
        await async_settle()
        assert len(bench.started) == started


@pytest.mark.parametrize(
    ("reason", "error"),
    [
        (CloseReason.TARGET_LEAVING, NoOwnerError),
        (CloseReason.STOPPING, ShuttingDownError),
    ],
)
async def test_close(
    clock: FakeClock, reason: CloseReason, error: type[NotRunError]
) -> None:
    """Closing refuses what waits and what comes; what runs goes on."""
    bench = make_bench(clock, slots=1)
    await bench.async_send(queued("x"), queued("a1"))
    bench.queue.close(reason)
    await bench.async_send(queued("b1"))
    assert {type(err) for err in bench.refused_by_name.values()} == {error}
    idle = asyncio.create_task(bench.queue.async_wait_idle())
    await async_settle()
    assert not idle.done()
    await bench.async_end("x")
    await idle


async def test_moved_slices(clock: FakeClock) -> None:
    """Requests of a slice that moved leave the queue, others stay."""
    bench = make_bench(clock, slots=1)
    await bench.async_send(queued("x"), queued("a1", slice_id=7))
    await bench.async_send(queued("b1", slice_id=8))
    bench.queue.refuse_slices(frozenset({7}))
    await async_settle()
    assert isinstance(bench.refused_by_name["a1"], SliceMovedError)
    assert bench.queue.waiting == 1


async def test_caller_leaves_while_waiting(clock: FakeClock) -> None:
    """A target loses a slot when a caller leaves just as it gets it.

    The slot is given and the caller's task is cancelled in the same turn of the
    loop, so the task never enters the context that would release the slot.
    """
    bench = make_bench(clock, slots=1)
    await bench.async_send(queued("x"), queued("a1"), queued("b1"))
    bench.queue.release(bench.slots_by_name["x"])
    bench.tasks_by_name["a1"].cancel()
    await async_settle()
    assert bench.started == ["x", "b1"]
    assert bench.queue.working == 1
