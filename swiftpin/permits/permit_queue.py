"""Queue for the slots of one service's targets, at the instance that hands them out."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from swiftpin.core import callback
from swiftpin.model.target import Target
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.target_slots import TargetSlots

MOST_WAITING: Final = 200
"""Requests that wait for one target, or one unkeyed service, at most."""

FAR_FACTOR: Final = 2.0
"""By how much faster a target in another zone must be to be preferred: bytes between
zones are paid for, and any free target answers within the objective."""

SHORTEST_RETRY: Final = 0.1
LONGEST_RETRY: Final = 2.0
"""Bounds of the wait that a refused caller is told, in seconds."""


class PermitQueue:
    """Hands a target's slots out one by one, the most urgent request first.

    Without it every instance would send by its own guess: targets that are full reset
    connections, and a request that must not be repeated is lost with its connection.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._slots_by_target: dict[str, TargetSlots] = {}
        self._eligible: frozenset[str] = frozenset()
        self._waiting_by_target: dict[str, list[PermitRequest]] = {}
        self._running: dict[tuple[str, int], str] = {}

    @callback
    def set_targets(self, targets: Iterable[Target], now: float) -> None:
        """Take the targets to which requests without a key may go."""
        self._eligible = frozenset(target.id for target in targets)
        for target in targets:
            slots = self._slots(target.id)
            slots.limit = target.slots
            slots.zone = target.zone
        self._serve_any(now)

    @callback
    def ask(self, request: PermitRequest, now: float) -> None:
        """Grant, queue or refuse a request."""
        target = self._free_target(request, now)
        if target is not None:
            self._grant(request, target)
            return
        wait = self._expected_wait(request)
        waiting = self._waiting_by_target.setdefault(request.target, [])
        if now + wait > request.ends_at or len(waiting) >= MOST_WAITING:
            self._refuse(request, wait)
            return
        waiting.append(request)

    @callback
    def end(
        self,
        request_id: tuple[str, int],
        seconds: float,
        *,
        failed: bool,
        now: float,
        cut: bool = False,
    ) -> None:
        """Take back a permit, or a request that waits for one.

        `seconds` is how long the target took, 0 when that says nothing about it; a
        request that was given up (`cut`) would have taken at least that long.
        """
        target = self._running.pop(request_id, None)
        if target is None:
            self._withdraw(request_id)
            return
        slots = self._slots(target)
        slots.running -= 1
        if failed:
            slots.note_failure(now)
        elif seconds > (slots.mean_time if cut else 0):
            slots.note_time(seconds)
        self._serve(target, now)

    @callback
    def end_all_of(self, incarnation: str, now: float) -> None:
        """Take back everything of an instance that is gone."""
        for request_id in [key for key in self._running if key[0] == incarnation]:
            self.end(request_id, 0.0, failed=False, now=now)
        for target, waiting in self._waiting_by_target.items():
            self._waiting_by_target[target] = [
                request for request in waiting if request.id[0] != incarnation
            ]

    @callback
    def expire(self, now: float) -> None:
        """Refuse what can't be served in time any more, and forget idle targets."""
        for target, waiting in list(self._waiting_by_target.items()):
            for request in waiting:
                if request.ends_at <= now:
                    self._refuse(request, self._expected_wait(request))
            kept = [request for request in waiting if request.ends_at > now]
            if kept:
                self._waiting_by_target[target] = kept
            else:
                del self._waiting_by_target[target]

    @callback
    def _slots(self, target: str) -> TargetSlots:
        """Return the use of a target's slots."""
        slots = self._slots_by_target.get(target)
        if slots is None:
            slots = self._slots_by_target[target] = TargetSlots(limit=1)
        return slots

    @callback
    def _free_target(self, request: PermitRequest, now: float) -> str | None:
        """Return the target that a request may be sent to at once."""
        if request.target:
            free = self._slots(request.target).is_free
            return request.target if free else None
        candidates = [
            target for target in self._eligible if self._slots_by_target[target].is_free
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda target: self._rank(target, request, now))

    @callback
    def _rank(
        self, target: str, request: PermitRequest, now: float
    ) -> tuple[bool, bool, float, str]:
        """Return by what free targets are chosen: sound ones first, then fast ones."""
        slots = self._slots_by_target[target]
        load = (slots.running + 1) / slots.limit
        distance = 1.0 if slots.zone == request.zone else FAR_FACTOR
        return (
            target == request.avoided,
            now < slots.avoided_until,
            slots.mean_time * (1 + load) * distance,
            target,
        )

    @callback
    def _expected_wait(self, request: PermitRequest) -> float:
        """Return the seconds until the request would begin."""
        ahead = sum(
            1
            for other in self._waiting_by_target.get(request.target, ())
            if other.priority <= request.priority
        )
        if request.target:
            slots = [self._slots(request.target)]
        else:
            slots = [self._slots_by_target[target] for target in self._eligible]
        rate = sum(use.limit / use.mean_time for use in slots)
        return (ahead + 1) / rate if rate else LONGEST_RETRY

    @callback
    def _grant(self, request: PermitRequest, target: str) -> None:
        """Give a permit."""
        self._slots(target).running += 1
        self._running[request.id] = target
        request.decide(PermitDecision(target=target))

    @callback
    def _refuse(self, request: PermitRequest, wait: float) -> None:
        """Refuse a request and say when there may be room."""
        retry_after = min(max(wait, SHORTEST_RETRY), LONGEST_RETRY)
        request.decide(PermitDecision(target="", retry_after=retry_after))

    @callback
    def _serve(self, target: str, now: float) -> None:
        """Give a slot that became free to whoever waits for it."""
        waiting = self._waiting_by_target.get(target)
        while waiting and self._slots(target).is_free:
            request = self._take_most_urgent(waiting, target, now)
            self._grant(request, target)
        if target in self._eligible:
            self._serve_any(now)

    @callback
    def _serve_any(self, now: float) -> None:
        """Give free slots to requests that any target may serve."""
        waiting = self._waiting_by_target.get("")
        while waiting:
            request = self._most_urgent(waiting, "", now)
            target = self._free_target(request, now)
            if target is None:
                return
            waiting.remove(request)
            self._grant(request, target)

    @callback
    def _take_most_urgent(
        self, waiting: list[PermitRequest], target: str, now: float
    ) -> PermitRequest:
        """Remove and return the request to serve next."""
        request = self._most_urgent(waiting, target, now)
        waiting.remove(request)
        return request

    @callback
    def _most_urgent(
        self, waiting: list[PermitRequest], target: str, now: float
    ) -> PermitRequest:
        """Return the request to serve next.

        By priority; within one those that can still make their objective go first,
        the nearest objective before the others.
        """
        usual = self._slots(target).mean_time if target else 0.0
        return min(
            waiting,
            key=lambda request: (
                request.priority,
                request.objective_at < now + usual,
                request.objective_at,
            ),
        )

    @callback
    def _withdraw(self, request_id: tuple[str, int]) -> None:
        """Forget a request that waits no longer."""
        for waiting in self._waiting_by_target.values():
            for request in waiting:
                if request.id == request_id:
                    waiting.remove(request)
                    return
