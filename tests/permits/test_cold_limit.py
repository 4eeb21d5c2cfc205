"""Tests of the rate limit of permits for cold targets and its effect on callers."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count

import pytest

from swiftpin.permits.cold_limit import ColdTarget
from swiftpin.permits.cold_targets import ColdTargets
from swiftpin.permits.issuer_authority import TAKEOVER_WAIT, IssuerAuthority
from swiftpin.permits.permit_broker import EXPIRE_INTERVAL
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_issuers import PermitIssuers
from swiftpin.permits.permit_queue import PermitQueue
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.rate_reports import RateReports
from swiftpin.permits.shared_limits import SharedLimits
from tests.permits.requester import Requester, make_target

RATE = 4.7
MAX_PER_SECOND = 15.05
COLD = ColdTarget(remaining=3.0, rate=RATE)
SERVICE_TIME = 0.1


class OverloadSimulation:
    """Simulates a target at ten times the load that it can handle while cold."""

    def __init__(self) -> None:
        self.granted_at: list[float] = []
        self.retry_after_by_number: dict[int, float] = {}
        self.now = 0.0
        self.queue = PermitQueue("desk")
        self._numbers = count()
        self._finish_events: list[tuple[float, int]] = []

    def run(self, seconds: float) -> None:
        """Submit and finish requests for some seconds."""
        steps = int(seconds / EXPIRE_INTERVAL)
        for _ in range(steps):
            self.now += EXPIRE_INTERVAL
            while self._finish_events and self._finish_events[0][0] <= self.now:
                _, number = heappop(self._finish_events)
                self.queue.release(
                    ("i", number), SERVICE_TIME, failed=False, now=self.now
                )
            for _ in range(round(10 * RATE * EXPIRE_INTERVAL)):
                self._submit_request()
            self.queue.expire(self.now)

    def _submit_request(self) -> None:
        """Submit one request, which waits for at most one second."""
        number = next(self._numbers)

        def on_decision(decision: PermitDecision) -> None:
            if not decision.is_granted:
                self.retry_after_by_number[number] = decision.retry_after
                return
            self.granted_at.append(self.now)
            heappush(self._finish_events, (self.now + SERVICE_TIME, number))

        self.queue.submit(
            PermitRequest(
                id=("i", number),
                service="desk",
                target="a",
                avoided="",
                zone="z1",
                priority=1,
                objective_at=self.now + 0.6,
                ends_at=self.now + 1.0,
                on_decision=on_decision,
            ),
            self.now,
        )

    def max_within_a_second(self) -> int:
        """Return the largest number of permits granted within any second."""
        return max(
            sum(start <= at < start + 1 for at in self.granted_at)
            for start in self.granted_at
        )


def test_overloaded_cold_target_gets_its_cold_rate() -> None:
    """Guards against overloading a cold target, and against leaving it idle."""
    simulation = OverloadSimulation()
    target = make_target("a", slots=4)
    simulation.queue.set_targets([target], 0.0, cold_by_id={"a": COLD})
    simulation.run(3.0)
    assert simulation.max_within_a_second() <= RATE + 1
    assert len(simulation.granted_at) >= 0.8 * RATE * 3.0
    assert min(simulation.retry_after_by_number.values()) > 0


def test_target_that_became_warm_uses_all_slots() -> None:
    """Guards against a limit that still applies once the target is warm."""
    simulation = OverloadSimulation()
    target = make_target("a", slots=4)
    simulation.queue.set_targets([target], 0.0, cold_by_id={"a": COLD})
    simulation.run(3.0)
    while_cold = len(simulation.granted_at)
    simulation.run(2.0)
    assert len(simulation.granted_at) - while_cold >= 2 * 0.9 * 4 / SERVICE_TIME / 2


def test_target_that_is_cold_again_is_limited_at_once() -> None:
    """Guards against a burst of permits when a warm target becomes cold."""
    simulation = OverloadSimulation()
    target = make_target("a", slots=4)
    simulation.queue.set_targets([target], 0.0)
    simulation.run(1.0)
    simulation.queue.set_targets([target], simulation.now, cold_by_id={"a": COLD})
    simulation.granted_at.clear()
    simulation.run(1.0)
    assert len(simulation.granted_at) <= RATE + 1


def test_unkeyed_requests_prefer_warm_targets() -> None:
    """Guards against sending unkeyed requests to cold targets while warm ones idle."""
    queue = PermitQueue("vault")
    queue.set_targets([make_target("a"), make_target("b")], 0.0, cold_by_id={"a": COLD})
    requester = Requester(queue)
    first, second, third = (requester.submit("", now=1.0) for _ in range(3))
    assert requester.decisions_by_number[first].target == "b"
    assert requester.decisions_by_number[second].target == "a"
    assert third not in requester.decisions_by_number


def test_cold_targets_with_rate_zero_get_no_permit() -> None:
    """Guards against permits for targets that can't handle any request while cold."""
    queue = PermitQueue("desk")
    no_rate = ColdTarget(remaining=3.0, rate=0.0)
    queue.set_targets([make_target("a")], 0.0, cold_by_id={"a": no_rate})
    requester = Requester(queue)
    rejected = requester.submit("a", now=0.0, ends_at=2.0)
    assert requester.is_rejected(rejected)
    waiting = requester.submit("a", now=2.0, ends_at=4.0)
    queue.expire(2.9)
    assert waiting not in requester.decisions_by_number
    queue.expire(3.1)
    assert requester.is_granted(waiting)


@pytest.mark.parametrize("is_keyed", [True, False])
def test_only_highest_ranked_issuers_grant_permits_for_cold_targets(
    is_keyed: bool,
) -> None:
    """Guards against overloading a cold target while instances are disconnected."""
    names = [f"i{number}" for number in range(12)]
    issuers = PermitIssuers(
        term=1, number=1, peers_by_incarnation=dict.fromkeys(names, ""), members=40
    )
    cold = ColdTargets(
        remaining_by_id={"a": 3.0}, rate=RATE, max_per_second=MAX_PER_SECOND
    ).by_id()
    subject = "a" if is_keyed else "desk"
    granting = []
    for name in [*names, "other"]:
        authority = IssuerAuthority(name)
        authority.record_list(issuers, -TAKEOVER_WAIT)
        authority.record_confirmation(1, 1, 0.0)
        limits = SharedLimits(RateReports(), authority, lambda: 1.0)
        queue = PermitQueue("desk", shared_limits=limits)
        queue.set_targets([make_target("a")], 0.0, cold_by_id=cold)
        requester = Requester(queue)
        number = requester.submit("a" if is_keyed else "", now=1.0, ends_at=2.0)
        # A new issuer waits for one interval, as others may have granted permits.
        assert not requester.is_granted(number)
        queue.expire(1.0 + 1 / RATE)
        if requester.is_granted(number):
            granting.append(name)
    assert sorted(granting) == sorted(issuers.ranked(subject)[:2])
    assert len(granting) * (RATE + 1) <= MAX_PER_SECOND


def test_service_without_a_declared_rate_has_no_limit() -> None:
    """Cold targets of such a service can handle as many requests as their slots."""
    assert ColdTargets(remaining_by_id={"a": 3.0}).by_id() == {}
