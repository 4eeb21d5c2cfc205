"""An asker for permits, and targets, for the tests of the queue."""

from __future__ import annotations

from itertools import count
from typing import Final

from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_queue import PermitQueue
from swiftpin.permits.permit_request import PermitRequest

NUMBERS: Final = count(1)


class Asker:
    """Asks for permits and notes the decisions."""

    def __init__(self, queue: PermitQueue) -> None:
        self.queue = queue
        self.decisions_by_number: dict[int, PermitDecision] = {}

    def ask(
        self,
        target: str,
        *,
        priority: int = 1,
        objective_at: float | None = None,
        ends_at: float | None = None,
        zone: str = "z1",
        avoided: str = "",
        asker: str = "i1",
        now: float = 0.0,
    ) -> int:
        """Ask and return the request's number."""
        number = next(NUMBERS)

        def decide(decision: PermitDecision) -> None:
            self.decisions_by_number[number] = decision

        request = PermitRequest(
            id=(asker, number),
            service="desk",
            target=target,
            avoided=avoided,
            zone=zone,
            priority=priority,
            objective_at=now + 1.0 if objective_at is None else objective_at,
            ends_at=now + 2.0 if ends_at is None else ends_at,
            on_decision=decide,
        )
        self.queue.submit(request, now)
        return number

    def end(
        self,
        number: int,
        *,
        asker: str = "i1",
        failed: bool = False,
        seconds: float = 0.1,
        now: float = 0.1,
    ) -> None:
        """Hand a permit back."""
        self.queue.release((asker, number), seconds, failed=failed, now=now)

    def run(self, target: str, *, seconds: float, times: int, now: float) -> float:
        """Let a target run requests one by one; return when the last one ended."""
        for _ in range(times):
            number = self.ask(target, now=now, objective_at=now + 1, ends_at=now + 2)
            now += seconds
            self.end(number, seconds=seconds, now=now)
        return now

    def is_rejected(self, number: int) -> bool:
        """Return whether a request was answered without a permit."""
        decision = self.decisions_by_number.get(number)
        return decision is not None and not decision.is_granted

    def is_granted(self, number: int) -> bool:
        """Return whether a request got a permit."""
        decision = self.decisions_by_number.get(number)
        return decision is not None and decision.is_granted


def make_target(name: str, *, slots: int = 1, zone: str = "z1") -> Target:
    """Return a target."""
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
