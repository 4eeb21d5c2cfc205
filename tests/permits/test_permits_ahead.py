"""Permits given ahead of a target's slots where they come back late.

Symptom: lookups are refused in hundreds while their targets work 0.85 of the time.

Sequence: a request ends at its target; its instance, whose link is thin and whose
processor is small, tells the one that gives permits 35 ms later in the mean, in one of
ten cases 130 ms later; the next permit takes as long back. So a slot idles between any
two requests, and its line grows as if the target bore less.

Cause: never more permits were out than slots, though a target queues a few requests
itself. Evidence: times that permits were out, less the targets' own.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count

from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_queue import PermitQueue
from swiftpin.permits.permit_request import PermitRequest
from tests.permits.asker import make_target

SLOTS = 2
SERVICE_TIME = 0.2
DURATION = 20.0
BACKLOG = 8
"""Requests that wait at any time."""


class SlowWay:
    """A target that is always asked for, and messages that take their time."""

    def __init__(self, way: float, *, is_keyed: bool = True) -> None:
        self.way = way
        """Seconds from the queue to the target, and back."""

        self.asked_target = "a" if is_keyed else ""

        self.now = 0.0
        self.served = 0
        self.most_at_target = 0
        self._free_at = [0.0] * SLOTS
        self._ends: list[float] = []
        self._events: list[tuple[float, int, int, float]] = []
        self._numbers = count()
        self._queue = PermitQueue("desk")
        self._queue.set_targets([make_target("a", slots=SLOTS)], 0.0)

    def play(self) -> float:
        """Return the part of the time for which the slots worked."""
        for _ in range(BACKLOG):
            self._ask()
        while self._events and self._events[0][0] < DURATION:
            self.now, _, number, seconds = heappop(self._events)
            if seconds == 0.0:
                self._arrive(number)
                continue
            self.served += 1
            self._queue.release(("i1", number), seconds, failed=False, now=self.now)
            self._ask()
        return self.served * SERVICE_TIME / (DURATION * SLOTS)

    def _plan(self, at: float, number: int, seconds: float) -> None:
        """Let a request come to the target, or its end to the queue."""
        heappush(self._events, (at, next(self._numbers), number, seconds))

    def _ask(self) -> None:
        """Ask for a permit."""
        number = next(self._numbers)

        def decide(decision: PermitDecision) -> None:
            assert decision.is_granted
            self._plan(self.now + self.way, number, 0.0)

        self._queue.submit(
            PermitRequest(
                id=("i1", number),
                service="desk",
                target=self.asked_target,
                avoided="",
                zone="z1",
                priority=1,
                objective_at=self.now + 10.0,
                ends_at=self.now + 20.0,
                on_decision=decide,
            ),
            self.now,
        )

    def _arrive(self, number: int) -> None:
        """Let the target run a request, or queue it until a slot is free."""
        slot = self._free_at.index(min(self._free_at))
        started_at = max(self.now, self._free_at[slot])
        self._free_at[slot] = started_at + SERVICE_TIME
        self._ends = [end for end in self._ends if end > self.now]
        self._ends.append(self._free_at[slot])
        self.most_at_target = max(self.most_at_target, len(self._ends))
        seconds = self._free_at[slot] - self.now
        self._plan(self._free_at[slot] + self.way, number, seconds)


def test_slots_are_busy_though_permits_come_back_late() -> None:
    """A permit on its way in each direction for 17 ms costs no work of the slots."""
    assert SlowWay(0.0175).play() > 0.97


def test_slots_of_a_service_without_keys_are_busy_though_permits_come_back_late() -> (
    None
):
    """Symptom: downloads wait for 1.1 s though 0.8 of the slots are in use.

    Sequence: of three targets that may serve any of them two are left; the others have
    crashed or were taken away. Cause: permits were given ahead for owners of keys only.
    """
    assert SlowWay(0.0175, is_keyed=False).play() > 0.97


def test_slots_are_busy_though_permits_come_back_very_late() -> None:
    """As many permits are given ahead as the time on their way asks for."""
    assert SlowWay(0.08).play() > 0.97


def test_target_is_sent_little_more_than_it_runs() -> None:
    """Requests that wait at a target can't be overtaken by more urgent ones."""
    way = SlowWay(0.0175)
    way.play()
    assert way.most_at_target <= SLOTS + 1


def test_no_more_run_than_there_are_slots_where_permits_come_back_at_once() -> None:
    """Nothing is given ahead without need."""
    way = SlowWay(0.0)
    assert way.play() > 0.97
    assert way.most_at_target <= SLOTS
