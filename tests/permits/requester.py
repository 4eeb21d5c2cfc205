"""Permit requester and target factory for the tests of the queue."""

from __future__ import annotations

from itertools import count
from typing import Final

from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_queue import PermitQueue
from swiftpin.permits.permit_request import PermitRequest

NUMBERS: Final = count(1)


class Requester:
    """Requests permits and records the decisions."""

    def __init__(self, queue: PermitQueue) -> None:
        self.queue = queue
        self.decisions_by_number: dict[int, PermitDecision] = {}

    def submit(
        self,
        target: str,
        *,
        priority: int = 1,
        objective_at: float | None = None,
        ends_at: float | None = None,
        zone: str = "z1",
        avoided: str = "",
        excluded: frozenset[str] = frozenset(),
        requester_id: str = "i1",
        now: float = 0.0,
    ) -> int:
        """Request a permit and return the request's number."""
        number = next(NUMBERS)

        def on_decision(decision: PermitDecision) -> None:
            self.decisions_by_number[number] = decision

        request = PermitRequest(
            id=(requester_id, number),
            service="desk",
            target=target,
            avoided=avoided,
            zone=zone,
            priority=priority,
            objective_at=now + 1.0 if objective_at is None else objective_at,
            ends_at=now + 2.0 if ends_at is None else ends_at,
            on_decision=on_decision,
            excluded=excluded,
        )
        self.queue.submit(request, now)
        return number

    def release(
        self,
        number: int,
        *,
        requester_id: str = "i1",
        failed: bool = False,
        unreachable: bool = False,
        seconds: float = 0.1,
        now: float = 0.1,
    ) -> None:
        """Release a permit."""
        self.queue.release(
            (requester_id, number),
            seconds,
            failed=failed or unreachable,
            unreachable=unreachable,
            now=now,
        )

    def run(self, target: str, *, seconds: float, times: int, now: float) -> float:
        """Run requests one by one at a target; return the end time of the last one."""
        for _ in range(times):
            number = self.submit(target, now=now, objective_at=now + 1, ends_at=now + 2)
            now += seconds
            self.release(number, seconds=seconds, now=now)
        return now

    def is_rejected(self, number: int) -> bool:
        """Return whether a request was rejected."""
        decision = self.decisions_by_number.get(number)
        return decision is not None and not decision.is_granted

    def is_granted(self, number: int) -> bool:
        """Return whether a request was granted a permit."""
        decision = self.decisions_by_number.get(number)
        return decision is not None and decision.is_granted


def make_target(name: str, *, slots: int = 1, zone: str = "z1") -> Target:
    """Return a target with the given slots and zone."""
    return Target(
        life=TargetLife(name=name),
        service="desk",
        address="127.0.0.1:1",
        zone=zone,
        slots=slots,
        is_draining=False,
        cold_for=0.0,
        revision=1,
    )
