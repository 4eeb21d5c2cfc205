"""Tests of what the queue's order is worth under overload, in virtual time."""

from __future__ import annotations

from swiftpin.bench.queue_policy.fifo_target import run_fifo
from swiftpin.bench.queue_policy.offered_load import offered_load
from swiftpin.bench.queue_policy.policy_result import judge
from swiftpin.bench.queue_policy.queue_target import QueueTarget


async def test_overload() -> None:
    """Overload costs downloads and the greedy caller, not bookings."""
    requests = offered_load(load=1.5, slots=2, duration=60.0, seed=7)
    ended = await QueueTarget(slots=2, length=100).async_run(requests)
    result = judge("swiftpin", 1.5, requests, ended)
    in_time = result.in_time_by_class
    assert in_time["booking"] > 0.99
    assert in_time["lookup"] > in_time["download"]
    assert result.in_time_of_others > result.in_time_of_greedy_caller
    plain = judge(
        "fifo",
        1.5,
        requests,
        run_fifo(requests, slots=2, length=100, skip_expired=True),
    )
    assert plain.in_time_by_class["booking"] < in_time["booking"]
