"""Tests of the limit of permits for cold targets, and what callers get of it."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count

import pytest

from swiftpin.permits.cold_limit import ColdTarget
from swiftpin.permits.cold_targets import ColdTargets
from swiftpin.permits.permit_broker import EXPIRE_INTERVAL
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_issuers import PermitIssuers
from swiftpin.permits.permit_queue import PermitQueue
from swiftpin.permits.permit_request import PermitRequest
from tests.permits.asker import Asker, make_target

RATE = 4.7
MOST_A_SECOND = 15.05
COLD = ColdTarget(remaining=3.0, rate=RATE)
SERVICE_TIME = 0.1


class Crowd:
    """Requests for one target, ten times as many as it bears while it is cold."""

    def __init__(self) -> None:
        self.granted_at: list[float] = []
        self.rejected_at: dict[int, float] = {}
        self.now = 0.0
        self.queue = PermitQueue("desk")
        self._numbers = count()
        self._ends: list[tuple[float, int]] = []

    def play(self, seconds: float) -> None:
        """Let requests come, and end."""
        steps = int(seconds / EXPIRE_INTERVAL)
        for _ in range(steps):
            self.now += EXPIRE_INTERVAL
            while self._ends and self._ends[0][0] <= self.now:
                _, number = heappop(self._ends)
                self.queue.release(
                    ("i", number), SERVICE_TIME, failed=False, now=self.now
                )
            for _ in range(round(10 * RATE * EXPIRE_INTERVAL)):
                self._ask()
            self.queue.expire(self.now)

    def _ask(self) -> None:
        """Let one request come, which waits for a second at most."""
        number = next(self._numbers)

        def decide(decision: PermitDecision) -> None:
            if not decision.is_granted:
                self.rejected_at[number] = decision.retry_after
                return
            self.granted_at.append(self.now)
            heappush(self._ends, (self.now + SERVICE_TIME, number))

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
                on_decision=decide,
            ),
            self.now,
        )

    def most_in_a_second(self) -> int:
        """Return the largest number of permits within any second."""
        return max(
            sum(began <= at < began + 1 for at in self.granted_at)
            for began in self.granted_at
        )


def test_crowd_at_a_cold_target_gets_what_the_target_bears() -> None:
    """Guards against a crash of a target that is cold, and against an idle one."""
    crowd = Crowd()
    target = make_target("a", slots=4)
    crowd.queue.set_targets([target], 0.0, cold_by_id={"a": COLD})
    crowd.play(3.0)
    assert crowd.most_in_a_second() <= RATE + 1
    assert len(crowd.granted_at) >= 0.8 * RATE * 3.0
    assert min(crowd.rejected_at.values()) > 0


def test_target_that_became_warm_gets_all_that_its_slots_bear() -> None:
    """Guards against a limit that outlives its reason."""
    crowd = Crowd()
    target = make_target("a", slots=4)
    crowd.queue.set_targets([target], 0.0, cold_by_id={"a": COLD})
    crowd.play(3.0)
    while_cold = len(crowd.granted_at)
    crowd.play(2.0)
    assert len(crowd.granted_at) - while_cold >= 2 * 0.9 * 4 / SERVICE_TIME / 2


def test_target_that_is_cold_again_is_limited_at_once() -> None:
    """Guards against permits ahead, and in a row, when a target turns cold."""
    crowd = Crowd()
    target = make_target("a", slots=4)
    crowd.queue.set_targets([target], 0.0)
    crowd.play(1.0)
    crowd.queue.set_targets([target], crowd.now, cold_by_id={"a": COLD})
    crowd.granted_at.clear()
    crowd.play(1.0)
    assert len(crowd.granted_at) <= RATE + 1


def test_any_target_will_do_means_a_warm_one_first() -> None:
    """Guards against cold targets that get requests while warm ones idle."""
    queue = PermitQueue("vault")
    queue.set_targets([make_target("a"), make_target("b")], 0.0, cold_by_id={"a": COLD})
    asker = Asker(queue)
    first, second, third = (asker.ask("", now=1.0) for _ in range(3))
    assert asker.decisions_by_number[first].target == "b"
    assert asker.decisions_by_number[second].target == "a"
    assert third not in asker.decisions_by_number


def test_issuer_without_a_share_leaves_cold_targets_alone() -> None:
    """Guards against many instances that each give a cold target its whole rate."""
    queue = PermitQueue("desk")
    barred = ColdTarget(remaining=3.0, rate=0.0)
    queue.set_targets([make_target("a")], 0.0, cold_by_id={"a": barred})
    asker = Asker(queue)
    hopeless = asker.ask("a", now=0.0, ends_at=2.0)
    assert asker.is_rejected(hopeless)
    waiting = asker.ask("a", now=2.0, ends_at=4.0)
    queue.expire(2.9)
    assert waiting not in asker.decisions_by_number
    queue.expire(3.1)
    assert asker.is_granted(waiting)


@pytest.mark.parametrize("is_keyed", [True, False])
def test_first_issuers_in_rank_alone_permit_requests_to_cold_targets(
    is_keyed: bool,
) -> None:
    """Guards against a crowd at a cold target while instances do not see each other."""
    names = [f"i{number}" for number in range(12)]
    issuers = PermitIssuers(
        term=1, number=1, peers_by_incarnation=dict.fromkeys(names, ""), members=40
    )
    cold = ColdTargets(
        remaining_by_id={"a": 3.0},
        rate=RATE,
        max_per_second=MOST_A_SECOND,
        is_keyed=is_keyed,
    )
    rates = [
        cold.for_issuer("desk", name, issuers)["a"].rate for name in [*names, "other"]
    ]
    assert sorted(rates, reverse=True)[:3] == [RATE, RATE, 0.0]
    assert sum(rate + 1 for rate in rates if rate) <= MOST_A_SECOND
    first = issuers.ranked("a" if is_keyed else "desk")[0]
    assert cold.for_issuer("desk", first, issuers)["a"].rate == RATE


def test_service_without_a_declared_rate_has_no_limit() -> None:
    """Cold targets are slow there, and bear as many requests as their slots."""
    issuers = PermitIssuers(term=1, number=1, peers_by_incarnation={}, members=1)
    assert (
        ColdTargets(remaining_by_id={"a": 3.0}).for_issuer("desk", "i", issuers) == {}
    )
