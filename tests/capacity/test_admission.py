"""Tests of the admission of requests."""

from __future__ import annotations

import math

import pytest

from swiftpin.capacity.admission import Admission, Holding, Refusal, RefusalReason
from swiftpin.capacity.buffer_sizes import MAX_ANSWER, MAX_BODY, REQUEST_BYTES
from swiftpin.capacity.capacity_limits import CapacityLimits
from swiftpin.capacity.return_times import MAX_RETRY_AFTER, MIN_RETRY_AFTER

LIMIT = 10_000_000
LONG = 500_000
SHORT = 2000
TIME_LEFT = 9.0


def make_admission(
    *,
    buffered_bytes: float = LIMIT,
    connections: float = math.inf,
    bandwidth: float = math.inf,
) -> Admission:
    """Return an admission with limits."""
    return Admission(
        CapacityLimits(
            buffered_bytes=buffered_bytes, connections=connections, bandwidth=bandwidth
        )
    )


def ask(
    admission: Admission,
    route: str,
    *,
    body: int | None = 0,
    connections: int = 1,
    now: float = 0.0,
) -> Holding | Refusal:
    """Ask for the admission of a request."""
    return admission.admit(route, body, TIME_LEFT, connections, now)


def admit(
    admission: Admission, route: str, *, body: int | None = 0, now: float = 0.0
) -> Holding:
    """Admit a request that fits."""
    holding = ask(admission, route, body=body, now=now)
    assert isinstance(holding, Holding)
    return holding


def fill(admission: Admission, route: str, length: int) -> list[Holding]:
    """Admit requests of a route until one is refused."""
    holdings = []
    while isinstance(holding := ask(admission, route), Holding):
        holding.begin_answer(length, 0.0)
        holdings.append(holding)
        assert len(holdings) < 10_000
    return holdings


def test_request_is_counted_by_the_size_it_may_reach() -> None:
    """Guards against many requests whose answers don't fit when they come."""
    admission = make_admission()
    holding = admit(admission, "files", body=None)
    assert admission.held_bytes == REQUEST_BYTES + MAX_BODY + MAX_ANSWER
    holding.begin_answer(LONG, 0.0)
    assert admission.held_bytes == REQUEST_BYTES + LONG
    holding.keep(1000)
    assert admission.held_bytes == REQUEST_BYTES + 1000
    holding.release(1.0)
    assert (admission.held_bytes, admission.requests) == (0, 0)


def test_bytes_stay_below_their_limit() -> None:
    """Guards against the process being killed for its memory."""
    admission = make_admission()
    holdings = fill(admission, "files", LONG)
    assert admission.held_bytes <= LIMIT
    assert len(holdings) >= 0.8 * LIMIT / (LONG + REQUEST_BYTES) - 3
    for holding in holdings:
        holding.release(1.0)
    assert admission.held_bytes == 0
    admit(admission, "files")


def test_short_answers_are_served_beside_slow_readers() -> None:
    """Guards against ordinary requests refused because of callers that read slowly."""
    admission = make_admission()
    admit(admission, "read").begin_answer(SHORT, 0.0)
    fill(admission, "files", LONG)
    for _ in range(10):
        admit(admission, "read").begin_answer(SHORT, 0.0)


def test_refused_callers_return_at_different_times() -> None:
    """Guards against callers that all return when one request fits."""
    admission = make_admission(buffered_bytes=10 * LIMIT)
    fill(admission, "files", LONG)
    refusals = [ask(admission, "files") for _ in range(100)]
    times = [it.retry_after for it in refusals if isinstance(it, Refusal)]
    assert len(times) == 100
    assert times == sorted(times)
    assert MIN_RETRY_AFTER <= times[0] < times[-1] <= MAX_RETRY_AFTER


def test_retry_after_follows_the_rate_at_which_bytes_are_freed() -> None:
    """Guards against callers that return seconds after there is room."""
    admission = make_admission()
    holdings = fill(admission, "files", LONG)
    slow = ask(admission, "files", now=0.0)
    for second in range(1, 5):
        for _ in range(3):
            holdings.pop().release(float(second))
        fill(admission, "files", LONG)
        fast = ask(admission, "files", now=second + 20.0 * second)
    assert isinstance(slow, Refusal)
    assert isinstance(fast, Refusal)
    assert fast.retry_after <= slow.retry_after


def test_too_many_connections_are_refused() -> None:
    """Guards against an instance without descriptors for its targets."""
    admission = make_admission(connections=10)
    assert isinstance(ask(admission, "read", connections=10), Holding)
    refusal = ask(admission, "read", connections=11)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.CONNECTIONS


def test_long_answer_is_refused_if_the_link_is_too_slow_for_its_deadline() -> None:
    """Guards against answers that are fetched and can't be transmitted in time."""
    admission = make_admission(buffered_bytes=math.inf, bandwidth=LONG)
    admit(admission, "read").begin_answer(SHORT, 0.0)
    holdings = [admit(admission, "files")]
    holdings[0].begin_answer(LONG, 0.0)
    refusal: Holding | Refusal
    while isinstance(refusal := ask(admission, "files"), Holding):
        refusal.begin_answer(LONG, 0.0)
        holdings.append(refusal)
    assert refusal.reason is RefusalReason.LINK
    assert TIME_LEFT - 2 <= len(holdings) <= TIME_LEFT
    assert isinstance(ask(admission, "read"), Holding)
    after = refusal.retry_after + SHORT / LONG + 0.001
    assert isinstance(ask(admission, "files", now=after), Holding)


def test_answer_that_was_not_transmitted_leaves_the_link() -> None:
    """Guards against a link that seems busy with answers of callers that left."""
    admission = make_admission(bandwidth=LONG)
    holding = admit(admission, "files")
    holding.begin_answer(LONG, 0.0)
    assert admission.backlog.seconds(0.0) == pytest.approx(1.0)
    holding.release(0.0, undelivered=LONG)
    assert admission.backlog.seconds(0.0) == 0.0


def test_request_that_failed_leaves_nothing() -> None:
    """Guards against capacity lost with each request that gets no answer."""
    admission = make_admission(bandwidth=LONG)
    admit(admission, "files").begin_answer(LONG, 0.0)
    before = (admission.held_bytes, admission.backlog.seconds(0.0))
    admit(admission, "files", body=None).release(0.0)
    assert admission.held_bytes == before[0]
    assert admission.backlog.seconds(0.0) == pytest.approx(before[1])


def test_size_of_a_route_is_forgotten() -> None:
    """Guards against a route that stays refused after a single long answer."""
    admission = make_admission()
    admit(admission, "read").begin_answer(LONG, 0.0)
    assert admission.sizes.expected_buffered("read") == MAX_ANSWER
    for now in (31.0, 62.0, 93.0):
        admission.sizes.record("read", 0, SHORT, now)
    assert admission.sizes.expected_buffered("read") == 0


def test_without_limits_everything_is_admitted() -> None:
    """Guards against refusals in deployments without limits."""
    admission = Admission(CapacityLimits())
    for _ in range(1000):
        admit(admission, "files", body=None).begin_answer(None, 0.0)
    assert admission.usage(1000, 0.0) == 0.0


def test_answer_of_unknown_length_is_counted_until_its_end() -> None:
    """Guards against an answer in chunks that is longer than assumed."""
    admission = make_admission()
    holding = admit(admission, "files")
    holding.begin_answer(None, 0.0)
    holding.keep(0)
    assert admission.held_bytes == REQUEST_BYTES + MAX_ANSWER
    holding.release(1.0)
    assert admission.held_bytes == 0


def test_stalled_bodies_leave_room_for_requests_without() -> None:
    """Guards against callers that announce long bodies, and send nothing of them."""
    admission = make_admission()
    known = admit(admission, "read")
    known.begin_answer(SHORT, 0.0)
    known.release(0.0)
    # Small enough to fill all that is left for them.
    body = 20_000
    while isinstance(ask(admission, "read", body=body), Holding):
        pass
    assert isinstance(ask(admission, "read"), Holding)
