"""Tests of the queue for a target's slots: who is rejected, and when."""

from __future__ import annotations

from tests.permits.asker import Asker

IDLE = 2.0
"""Seconds without requests after which earlier ones say nothing of those to come."""


def test_hopeless_requests_are_refused_at_once(asker: Asker) -> None:
    """A request that cannot begin in time is not held; it learns when to come back."""
    asker.ask("a")
    refused = asker.ask("a", ends_at=0.1)
    decision = asker.decisions_by_number[refused]
    assert not decision.is_granted
    assert decision.retry_after > 0


def test_waiting_requests_are_refused_when_their_time_is_over(asker: Asker) -> None:
    """Nobody waits beyond the time at which the answer has no use."""
    asker.ask("a")
    waiting = asker.ask("a", ends_at=1.0)
    asker.queue.expire(1.5)
    assert not asker.decisions_by_number[waiting].is_granted


def test_overtaken_requests_are_rejected_long_before_their_end(asker: Asker) -> None:
    """Symptom: callers leave after their whole time without a send.

    Sequence: more callers than a target bears ask for it. One that will miss its
    objective waits; all that won't miss theirs go before it, as long as they come.
    Cause: its turn was judged once, at arrival, by those that waited before it.
    """
    now = asker.run("a", seconds=0.05, times=40, now=0.0)
    running = asker.ask("a", now=now, objective_at=now + 0.3, ends_at=now + 0.8)
    ends_at = now + 0.8
    late = asker.ask("a", now=now, objective_at=now + 0.01, ends_at=ends_at)
    waiting: list[int] = []
    while not asker.is_rejected(late) and now < ends_at:
        now += 0.05
        waiting += [
            asker.ask("a", now=now, objective_at=now + 0.3, ends_at=now + 0.8)
            for _ in range(2)
        ]
        asker.end(running, seconds=0.05, now=now)
        asker.queue.expire(now)
        (running, *_) = [number for number in waiting if asker.is_granted(number)]
        waiting.remove(running)
    assert not asker.is_granted(late)
    assert ends_at - now > 0.2


def test_waiting_requests_are_judged_again_when_the_target_slows(asker: Asker) -> None:
    """Symptom: callers leave after their whole time without a send.

    Sequence: requests queue for a fast target; it turns slow, and those at the end of
    the queue can't begin in time any more.
    Cause: whether a request can be served was judged at arrival only.
    """
    now = asker.run("a", seconds=0.05, times=40, now=0.0)
    running = asker.ask("a", now=now, ends_at=now + 2)
    waiting = [asker.ask("a", now=now, ends_at=now + 1) for _ in range(10)]
    assert not any(asker.is_rejected(number) for number in waiting)
    asker.end(running, seconds=0.5, now=now + 0.5)
    assert asker.is_granted(waiting[0])
    assert asker.is_rejected(waiting[-1])


def test_urgent_arrivals_reject_whom_they_displace(asker: Asker) -> None:
    """Symptom: less urgent requests wait to their end behind urgent ones.

    Sequence: one waits that would be served in time; urgent requests arrive, and its
    turn comes after its end.
    Cause: nobody looked at those that wait when others went before them.
    """
    now = asker.run("a", seconds=0.1, times=40, now=0.0) + IDLE
    asker.ask("a", now=now, ends_at=now + 2)
    displaced = asker.ask("a", now=now, priority=2, ends_at=now + 0.5)
    assert displaced not in asker.decisions_by_number
    for _ in range(5):
        asker.ask("a", now=now, priority=0, ends_at=now + 2)
    assert asker.is_rejected(displaced)


def test_fast_targets_are_known_after_one_request(asker: Asker) -> None:
    """Symptom: callers are rejected by a target that could serve them.

    Sequence: a target starts; its first request took 10 ms; seven wait with 0.3 s left.
    Cause: the mean began with an assumed time and took ten requests to forget it.
    """
    now = asker.run("a", seconds=0.01, times=1, now=0.0)
    numbers = [asker.ask("a", now=now, ends_at=now + 0.3) for _ in range(8)]
    assert not any(asker.is_rejected(number) for number in numbers)


def test_targets_not_yet_measured_are_judged_by_the_others(asker: Asker) -> None:
    """Symptom: callers are rejected by a newcomer that could serve them.

    Sequence: the service's other targets take 10 ms; one that never ran gets six.
    Cause: the newcomer's time was assumed though that of its likes was known.
    """
    now = asker.run("a", seconds=0.01, times=1, now=0.0)
    numbers = [asker.ask("b", now=now, ends_at=now + 0.3) for _ in range(6)]
    assert not any(asker.is_rejected(number) for number in numbers)


def test_no_permit_for_who_cannot_finish(asker: Asker) -> None:
    """Symptom: slots are spent on answers that nobody takes.

    Sequence: a request waits behind one that takes long; when the slot is free, less
    time is left than any request takes.
    Cause: a slot went to whoever was next, up to the moment of its end.
    """
    now = asker.run("a", seconds=0.1, times=40, now=0.0)
    running = asker.ask("a", now=now, ends_at=now + 2)
    waiting = asker.ask("a", now=now, ends_at=now + 0.3)
    asker.end(running, seconds=0.29, now=now + 0.29)
    assert asker.is_rejected(waiting)


def test_those_who_can_be_served_are_served(asker: Asker) -> None:
    """A queue that fits is served whole, at the pace that was measured."""
    now = asker.run("a", seconds=0.05, times=40, now=0.0) + IDLE
    numbers = [
        asker.ask("a", now=now, objective_at=now + 0.3, ends_at=now + 0.8)
        for _ in range(12)
    ]
    for number in numbers:
        asker.queue.expire(now)
        assert asker.is_granted(number)
        now += 0.05
        asker.end(number, seconds=0.05, now=now)


def test_unkeyed_requests_are_judged_by_all_targets(asker: Asker) -> None:
    """Requests that any target may serve share one queue, as fast as all of them."""
    now = asker.run("a", seconds=0.1, times=1, now=0.0)
    now = asker.run("b", seconds=0.1, times=1, now=now) + IDLE
    for _ in range(2):
        asker.ask("", now=now, ends_at=now + 2.0)
    numbers = [asker.ask("", now=now, ends_at=now + 0.45) for _ in range(8)]
    waiting = [number for number in numbers if not asker.is_rejected(number)]
    assert waiting == numbers[:5]


def test_rejected_callers_are_told_different_times(asker: Asker) -> None:
    """Symptom: callers that were rejected together come back together.

    Sequence: a queue overflows; all whom it rejects are told the same time.
    Cause: the time was the length of the queue, equal for all who met it.
    """
    now = asker.run("a", seconds=0.1, times=40, now=0.0)
    numbers = [asker.ask("a", now=now, ends_at=now + 0.5) for _ in range(20)]
    waits = [
        asker.decisions_by_number[number].retry_after
        for number in numbers
        if asker.is_rejected(number)
    ]
    assert len(waits) > 10
    assert len({round(wait, 3) for wait in waits}) > len(waits) / 2


def test_arrivals_of_late_say_nothing_of_long_waits(asker: Asker) -> None:
    """Symptom: callers with much time left are rejected though overload soon ends.

    Sequence: a target was busy for a second; requests that will miss their objective
    queue for it, the last of them with twice the time left that its turn needs.
    Cause: those that overtook others in the last second were expected for ever.
    """
    now = asker.run("a", seconds=0.02, times=100, now=0.0)
    asker.ask("a", now=now)
    numbers = [
        asker.ask("a", now=now, objective_at=now, ends_at=now + 2.0) for _ in range(50)
    ]
    assert not any(asker.is_rejected(number) for number in numbers)
