"""The instances' way with requests, around the decisions that are played."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
import math
from typing import Final

from swiftpin.bench.decisions.event_queue import EventQueue
from swiftpin.bench.decisions.key_owners import KeyOwners
from swiftpin.bench.decisions.modelled_target import Answer, ModelledTarget, Work
from swiftpin.bench.decisions.scenario import RequestSort, ServiceShape
from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife
from swiftpin.permits.cold_limit import ColdTarget
from swiftpin.permits.permit_broker import EXPIRE_INTERVAL
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_queue import PermitQueue
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.router.owner_finder import MAX_OWNER_WAIT, NO_OWNER_RETRY_AFTER
from swiftpin.router.retry_policy import REFUSED_RETRY_AFTER

MESSAGE_TIME: Final = 0.0015
"""Seconds of a message between instances, and of a request to a target."""

MOST_TRIES: Final = 3


@dataclass(kw_only=True, slots=True)
class Try:
    """One try of a caller, while the instances have it."""

    sort: RequestSort
    key: int | None
    work: float
    came_at: float
    ends_at: float
    on_served: Callable[[], None]
    on_rejected: Callable[[float], None]
    """Takes the seconds after which to come back."""

    sends: int = 0
    failed_target: str = ""


class ModelledRouter:
    """One service: asks for slots, sends, and tells callers how it ended."""

    def __init__(self, shape: ServiceShape, clock: EventQueue) -> None:
        self.targets_by_name = {
            f"{shape.name}-{number}": ModelledTarget(
                f"{shape.name}-{number}", shape, speed, clock
            )
            for number, speed in enumerate(shape.speeds)
        }
        self.owners = KeyOwners(self.targets_by_name, clock) if shape.is_keyed else None
        self._shape = shape
        self._clock = clock
        self._queue = PermitQueue(shape.name)
        self._numbers = count()
        self._leaving: set[str] = set()
        self._waiting_for_owner: list[tuple[float, Try]] = []
        self._asked: dict[tuple[str, int], tuple[Try, str]] = {}
        """Tries that wait for a slot of a target, by the request for it."""

        self._set_targets()
        if self.owners is not None:
            self.owners.on_change = self._note_owners
        clock.after(EXPIRE_INTERVAL, self._expire)

    def let_leave(self, number: int, *, is_replaced: bool) -> None:
        """Have a target leave; another of its speed comes first if it is replaced."""
        target = self.targets_by_name[f"{self._shape.name}-{number}"]
        self._leaving.add(target.name)
        if is_replaced:
            name = f"{target.name}-again"
            successor = ModelledTarget(name, self._shape, target.speed, self._clock)
            self.targets_by_name[name] = successor
            if self.owners is not None:
                self.owners.add(successor)
        if self.owners is not None:
            self.owners.leaving.add(target.name)
        self._set_targets()

    def begin_cold(self, number: int, seconds: float) -> None:
        """Let a cold target come in the place of one that has left."""
        former = self.targets_by_name[f"{self._shape.name}-{number}"]
        name = f"{former.name}-cold"
        target = ModelledTarget(name, self._shape, former.speed, self._clock)
        target.cold_until = self._clock.now + seconds
        self.targets_by_name[name] = target
        if self.owners is not None:
            self.owners.add(target)
        self._set_targets()
        self._clock.after(seconds, self._set_targets)

    def _cold_targets(self) -> dict[str, ColdTarget]:
        """Return the cold targets by name."""
        now = self._clock.now
        return {
            name: ColdTarget(
                remaining=target.cold_until - now, rate=self._shape.cold_rate
            )
            for name, target in self.targets_by_name.items()
            if target.cold_until > now and not math.isinf(self._shape.cold_rate)
        }

    def _set_targets(self) -> None:
        """Tell the queue which targets there are."""
        staying: list[Target] = []
        leaving: list[Target] = []
        for target in self.targets_by_name.values():
            entry = Target(
                life=TargetLife(name=target.name),
                service=self._shape.name,
                address=target.name,
                zone="z",
                slots=self._shape.slots,
                is_draining=target.name in self._leaving,
                cold_for=0.0,
                revision=1,
            )
            (leaving if entry.is_draining else staying).append(entry)
        self._queue.set_targets(
            staying,
            self._clock.now,
            leaving=leaving,
            cold_by_id=self._cold_targets(),
        )

    def take(self, attempt: Try) -> None:
        """Serve a request."""
        if self.owners is not None and attempt.key is not None:
            self.owners.note_request(attempt.key)
        self._find(attempt)

    def _find(self, attempt: Try) -> None:
        """Find the target, or wait for one."""
        if self.owners is None or attempt.key is None:
            self._ask(attempt, "")
            return
        owner = self.owners.owner_of(attempt.key)
        if owner:
            self._ask(attempt, owner)
        else:
            until = min(self._clock.now + MAX_OWNER_WAIT, attempt.ends_at)
            self._waiting_for_owner.append((until, attempt))

    def _ask(self, attempt: Try, target: str) -> None:
        """Ask for a slot."""
        request_id = ("i", next(self._numbers))
        request = PermitRequest(
            id=request_id,
            service=attempt.sort.service,
            target=target,
            avoided=attempt.failed_target,
            zone="z",
            priority=attempt.sort.priority,
            objective_at=attempt.came_at + attempt.sort.objective,
            ends_at=attempt.ends_at,
            on_decision=lambda decision: self._decide(attempt, request_id, decision),
        )
        self._asked[request_id] = (attempt, target)
        self._clock.after(
            MESSAGE_TIME, lambda: self._queue.submit(request, self._clock.now)
        )

    def _decide(
        self, attempt: Try, request_id: tuple[str, int], decision: PermitDecision
    ) -> None:
        """Send by a permit, or reject."""
        if self._asked.pop(request_id, None) is None:
            # Withdrawn before it came to the queue; a permit goes straight back.
            self._queue.release(request_id, 0.0, failed=False, now=self._clock.now)
            return
        if decision.is_granted:
            self._clock.after(
                2 * MESSAGE_TIME,
                lambda: self._send(attempt, request_id, decision.target),
            )
        else:
            self._reject(attempt, decision.retry_after)

    def _send(self, attempt: Try, request_id: tuple[str, int], name: str) -> None:
        """Have a target work on a request."""
        sent_at = self._clock.now
        attempt.sends += 1

        def reply(answer: Answer) -> None:
            self._clock.after(
                MESSAGE_TIME,
                lambda: self._answer(attempt, request_id, name, answer, sent_at),
            )

        self.targets_by_name[name].take(
            Work(key=attempt.key, seconds=attempt.work, reply=reply)
        )

    def _answer(
        self,
        attempt: Try,
        request_id: tuple[str, int],
        name: str,
        answer: Answer,
        sent_at: float,
    ) -> None:
        """Hand the permit back, and answer or try again."""
        is_done = answer is Answer.DONE
        is_failure = answer is Answer.FULL
        seconds = self._clock.now - sent_at + MESSAGE_TIME if is_done else 0.0
        self._clock.after(
            MESSAGE_TIME,
            lambda: self._queue.release(
                request_id, seconds, failed=is_failure, now=self._clock.now
            ),
        )
        if is_done:
            if self.owners is not None:
                self.owners.note_time(name, seconds)
            attempt.on_served()
            return
        attempt.failed_target = name
        if attempt.sends < MOST_TRIES:
            self._find(attempt)
        else:
            self._reject(attempt, REFUSED_RETRY_AFTER)

    def _reject(self, attempt: Try, retry_after: float) -> None:
        """Tell the caller when to come back."""
        attempt.on_rejected(retry_after)

    def _note_owners(self) -> None:
        """Go on with requests whose keys have an owner by now."""
        owners = self.owners
        if owners is None:
            return
        for request_id, (attempt, target) in list(self._asked.items()):
            if attempt.key is not None and owners.owner_of(attempt.key) != target:
                del self._asked[request_id]
                self._queue.release(request_id, 0.0, failed=False, now=self._clock.now)
                self._find(attempt)
        waiting, self._waiting_for_owner = self._waiting_for_owner, []
        for until, attempt in waiting:
            if self._clock.now >= until:
                self._reject(attempt, NO_OWNER_RETRY_AFTER)
            elif owners.owner_of(attempt.key or 0):
                self._find(attempt)
            else:
                self._waiting_for_owner.append((until, attempt))

    def _expire(self) -> None:
        """Let the queue judge again who still has a chance."""
        self._queue.expire(self._clock.now)
        self._note_owners()
        self._clock.after(EXPIRE_INTERVAL, self._expire)
