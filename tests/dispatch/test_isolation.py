"""Tests of requests that must run alone at their target."""

from __future__ import annotations

from swiftpin.exceptions import QueueFullError
from tests.dispatch.conftest import FakeClock
from tests.dispatch.queue_bench import async_settle, make_bench, queued


async def test_isolated_runs_alone(clock: FakeClock) -> None:
    """An isolated request waits for an empty target and keeps the others back."""
    bench = make_bench(clock)
    await bench.async_send(queued("a1"), queued("s1", isolated=True), queued("b1"))
    assert bench.started == ["a1"]
    await bench.async_end("a1")
    assert bench.started == ["a1", "s1"]
    await bench.async_end("s1")
    assert bench.started == ["a1", "s1", "b1"]


async def test_isolated_requests_do_not_stop_the_target(clock: FakeClock) -> None:
    """All work stops when a caller sends suspected requests for ever.

    Each isolated run empties the target. One an interval may, the others wait.
    """
    bench = make_bench(clock, isolation_interval=10.0)
    await bench.async_send(queued("s1", isolated=True), queued("a1"))
    await bench.async_send(queued("s2", isolated=True))
    await bench.async_end("s1")
    assert bench.started == ["s1", "a1"]
    await bench.async_send(queued("b1"))
    assert "b1" in bench.started
    await bench.async_end("a1", "b1")
    assert bench.started[-1] == "s2"


async def test_isolated_request_is_given_up(clock: FakeClock) -> None:
    """A long download keeps everything back that waits behind a suspected request."""
    bench = make_bench(clock, isolation_patience=1.0)
    await bench.async_send(queued("a1"), queued("s1", isolated=True), queued("b1"))
    clock.now += 1.5
    bench.queue.wake(clock.now)
    await async_settle()
    assert isinstance(bench.refused_by_name["s1"], QueueFullError)
    assert bench.started == ["a1", "b1"]
