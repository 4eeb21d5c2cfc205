"""Tests of the queue for a target's slots: which requests are rejected, and when."""

from __future__ import annotations

from tests.permits.requester import Requester

IDLE_SECONDS = 2.0
"""Seconds without requests after which recent grants no longer affect estimates."""


def test_requests_that_cannot_be_served_are_rejected_at_once(
    requester: Requester,
) -> None:
    """A request that can't start in time is rejected at once, with a retry delay."""
    requester.submit("a")
    rejected = requester.submit("a", ends_at=0.1)
    decision = requester.decisions_by_number[rejected]
    assert not decision.is_granted
    assert decision.retry_after > 0


def test_waiting_requests_are_rejected_at_their_end(requester: Requester) -> None:
    """Guards against requests that wait beyond their end."""
    requester.submit("a")
    waiting = requester.submit("a", ends_at=1.0)
    requester.queue.expire(1.5)
    assert not requester.decisions_by_number[waiting].is_granted


def test_overtaken_requests_are_rejected_long_before_their_end(
    requester: Requester,
) -> None:
    """Guards against callers that wait until their end without a send.

    At an overloaded target, a request that will miss its objective is overtaken by all
    that won't, as long as these arrive. Its wait can't be estimated only once, from the
    queue at its arrival.
    """
    now = requester.run("a", seconds=0.05, times=40, now=0.0)
    running = requester.submit("a", now=now, objective_at=now + 0.3, ends_at=now + 0.8)
    ends_at = now + 0.8
    late = requester.submit("a", now=now, objective_at=now + 0.01, ends_at=ends_at)
    waiting: list[int] = []
    while not requester.is_rejected(late) and now < ends_at:
        now += 0.05
        waiting += [
            requester.submit("a", now=now, objective_at=now + 0.3, ends_at=now + 0.8)
            for _ in range(2)
        ]
        requester.release(running, seconds=0.05, now=now)
        requester.queue.expire(now)
        (running, *_) = [number for number in waiting if requester.is_granted(number)]
        waiting.remove(running)
    assert not requester.is_granted(late)
    assert ends_at - now > 0.2


def test_waiting_requests_are_reviewed_when_the_target_slows_down(
    requester: Requester,
) -> None:
    """Guards against callers that wait until their end without a send.

    Requests queue for a fast target, which then slows down, so that those at the end of
    the queue can no longer start in time.
    """
    now = requester.run("a", seconds=0.05, times=40, now=0.0)
    running = requester.submit("a", now=now, ends_at=now + 2)
    waiting = [requester.submit("a", now=now, ends_at=now + 1) for _ in range(10)]
    assert not any(requester.is_rejected(number) for number in waiting)
    requester.release(running, seconds=0.5, now=now + 0.5)
    assert requester.is_granted(waiting[0])
    assert requester.is_rejected(waiting[-1])


def test_requests_displaced_by_urgent_arrivals_are_rejected(
    requester: Requester,
) -> None:
    """Guards against requests that wait until their end behind more urgent ones.

    A request that would be served in time is queued; then urgent requests arrive and
    delay it beyond its end.
    """
    now = requester.run("a", seconds=0.1, times=40, now=0.0) + IDLE_SECONDS
    requester.submit("a", now=now, ends_at=now + 2)
    displaced = requester.submit("a", now=now, priority=2, ends_at=now + 0.5)
    assert displaced not in requester.decisions_by_number
    for _ in range(5):
        requester.submit("a", now=now, priority=0, ends_at=now + 2)
    assert requester.is_rejected(displaced)


def test_speed_of_a_target_is_known_after_one_request(requester: Requester) -> None:
    """Guards against rejecting callers that a fast new target could serve.

    The first request took 10 ms, and seven wait with 0.3 s left. A mean that starts
    with an assumed time would take ten requests to adapt.
    """
    now = requester.run("a", seconds=0.01, times=1, now=0.0)
    numbers = [requester.submit("a", now=now, ends_at=now + 0.3) for _ in range(8)]
    assert not any(requester.is_rejected(number) for number in numbers)


def test_speed_of_a_new_target_is_estimated_from_the_others(
    requester: Requester,
) -> None:
    """Guards against rejecting callers that a new target could serve.

    The other targets of the service take 10 ms, and a target without observations gets
    six requests. Its time must be estimated from the others.
    """
    now = requester.run("a", seconds=0.01, times=1, now=0.0)
    numbers = [requester.submit("b", now=now, ends_at=now + 0.3) for _ in range(6)]
    assert not any(requester.is_rejected(number) for number in numbers)


def test_no_permit_for_requests_that_cannot_finish(requester: Requester) -> None:
    """Guards against using slots for answers that arrive too late.

    A request waits behind a slow one; when the slot becomes free, it has less time left
    than any request takes.
    """
    now = requester.run("a", seconds=0.1, times=40, now=0.0)
    running = requester.submit("a", now=now, ends_at=now + 2)
    waiting = requester.submit("a", now=now, ends_at=now + 0.3)
    requester.release(running, seconds=0.29, now=now + 0.29)
    assert requester.is_rejected(waiting)


def test_requests_that_can_be_served_are_served(requester: Requester) -> None:
    """All requests are served if the queue drains in time at the observed pace."""
    now = requester.run("a", seconds=0.05, times=40, now=0.0) + IDLE_SECONDS
    numbers = [
        requester.submit("a", now=now, objective_at=now + 0.3, ends_at=now + 0.8)
        for _ in range(12)
    ]
    for number in numbers:
        requester.queue.expire(now)
        assert requester.is_granted(number)
        now += 0.05
        requester.release(number, seconds=0.05, now=now)


def test_unkeyed_requests_are_estimated_from_all_targets(requester: Requester) -> None:
    """Requests for any target share one queue, with the pace of all targets."""
    now = requester.run("a", seconds=0.1, times=1, now=0.0)
    now = requester.run("b", seconds=0.1, times=1, now=now) + IDLE_SECONDS
    for _ in range(2):
        requester.submit("", now=now, ends_at=now + 2.0)
    numbers = [requester.submit("", now=now, ends_at=now + 0.45) for _ in range(8)]
    waiting = [number for number in numbers if not requester.is_rejected(number)]
    assert waiting == numbers[:5]


def test_rejected_callers_get_different_retry_delays(requester: Requester) -> None:
    """Guards against callers that are rejected together and then retry together.

    A queue overflows. A retry delay based on its length only would be the same for all
    rejected callers.
    """
    now = requester.run("a", seconds=0.1, times=40, now=0.0)
    numbers = [requester.submit("a", now=now, ends_at=now + 0.5) for _ in range(20)]
    waits = [
        requester.decisions_by_number[number].retry_after
        for number in numbers
        if requester.is_rejected(number)
    ]
    assert len(waits) > 10
    assert len({round(wait, 3) for wait in waits}) > len(waits) / 2


def test_recent_arrivals_do_not_predict_long_waits(requester: Requester) -> None:
    """Guards against rejecting callers with much time left when overload ends soon.

    A target was busy for a second, then requests that will miss their objective queue
    for it, the last one with twice the time that it needs. The arrivals of the last
    second must not be expected to continue for all that time.
    """
    now = requester.run("a", seconds=0.02, times=100, now=0.0)
    requester.submit("a", now=now)
    numbers = [
        requester.submit("a", now=now, objective_at=now, ends_at=now + 2.0)
        for _ in range(50)
    ]
    assert not any(requester.is_rejected(number) for number in numbers)
