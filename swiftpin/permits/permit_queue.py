"""Queue for the slots of one service's targets, at the instance that hands them out."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final

from swiftpin.core import callback
from swiftpin.model.target import Target
from swiftpin.permits.cold_limit import ColdTarget
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.retry_spread import MIN_RETRY_AFTER
from swiftpin.permits.slot_pace import SlotPace
from swiftpin.permits.target_queue import ANSWER_TRANSFER_TIME, TargetQueue
from swiftpin.permits.target_slots import INITIAL_REQUEST_TIME, TargetSlots
from swiftpin.permits.turnaround import Turnaround

OTHER_ZONE_FACTOR: Final = 2.0
"""By how much faster a target in another zone must be to be preferred: bytes between
zones are paid for, and any free target answers within the objective."""

NO_TARGETS_PACE: Final = SlotPace(free_in=2.0, interval=2.0, hold=INITIAL_REQUEST_TIME)
"""Pace of a service that has no targets: it has some again within about two seconds of
a loss."""


class PermitQueue:
    """Hands a target's slots out one by one, the most urgent request first.

    Without it every instance would send by its own guess: targets that are full reset
    connections, and a request that must not be repeated is lost with its connection.
    """

    def __init__(
        self,
        service: str,
        on_turnaround: Callable[[str, float], None] | None = None,
    ) -> None:
        self._service = service
        self._on_turnaround = on_turnaround
        self._slots_by_target: dict[str, TargetSlots] = {}
        self._eligible_targets: frozenset[str] = frozenset()
        self._known_targets: frozenset[str] = frozenset()
        self._queues_by_target: dict[str, TargetQueue] = {}
        self._target_by_request: dict[tuple[str, int], str] = {}
        self._service_average = TargetSlots(limit=1)
        """How long permits of all its targets were out lately."""

        self._turnaround = Turnaround()

    @callback
    def set_targets(
        self,
        targets: Iterable[Target],
        now: float,
        *,
        leaving: Iterable[Target] = (),
        cold_by_id: Mapping[str, ColdTarget] | None = None,
    ) -> None:
        """Take the targets to which requests without a key may go.

        Those that are `leaving` may still get requests for the keys that they own. A
        target that was in either and is in none is gone: its waiters are rejected.
        """
        cold_by_id = cold_by_id or {}
        targets = list(targets)
        present = [*targets, *leaving]
        gone = self._known_targets - {target.id for target in present}
        self._eligible_targets = frozenset(target.id for target in targets)
        self._known_targets = frozenset(target.id for target in present)
        for target in present:
            slots = self._get_or_create_slots(target.id)
            slots.limit = target.slots
            slots.zone = target.zone
            slots.cold.set(cold_by_id.get(target.id), now)
        for target_id in gone:
            self._reject_all(target_id)
            self._prune_slots(target_id)
        for target_id in list(self._queues_by_target):
            self._grant_waiting(target_id, now)

    @callback
    def submit(self, request: PermitRequest, now: float) -> None:
        """Grant, queue or reject a request."""
        target = self._choose_target(request, now)
        if target is not None and now + ANSWER_TRANSFER_TIME <= request.ends_at:
            self._grant(request, target, now)
            return
        self._queue_for(request.target).requests.append(request)
        self._review(request.target, now)

    @callback
    def release(
        self,
        request_id: tuple[str, int],
        seconds: float,
        *,
        failed: bool,
        now: float,
        abandoned: bool = False,
    ) -> None:
        """Take back a permit, or a request that waits for one.

        `seconds` is how long the target took, 0 when that says nothing about it; a
        request that was given up (`abandoned`) would have taken at least that long.
        """
        target = self._target_by_request.pop(request_id, None)
        if target is None:
            self._withdraw(request_id)
            return
        slots = self._get_or_create_slots(target)
        hold = now - slots.granted_at_by_request.pop(request_id)
        if failed:
            slots.record_failure(now)
        elif seconds > (slots.mean_time if abandoned else 0):
            slots.record_time(seconds)
        if not failed and not abandoned and seconds > 0:
            turnaround = max(hold - seconds, 0.0)
            self._turnaround.record(turnaround)
            if self._on_turnaround is not None:
                self._on_turnaround(self._service, turnaround)
        if (
            not failed
            and seconds > 0
            and (not abandoned or hold > self._expected_hold(slots))
        ):
            slots.record_hold(hold)
            self._service_average.record_hold(hold)
        self._prune_slots(target)
        self._grant_waiting(target, now)

    @callback
    def release_all(self, incarnation: str, now: float) -> None:
        """Take back everything of an instance that is gone."""
        for queue in self._queues_by_target.values():
            queue.requests = [
                request for request in queue.requests if request.id[0] != incarnation
            ]
        for request_id in [
            key for key in self._target_by_request if key[0] == incarnation
        ]:
            self.release(request_id, 0.0, failed=False, now=now)

    @callback
    def expire(self, now: float) -> None:
        """Reject what can't be served in time any more, and forget idle targets."""
        for target, queue in list(self._queues_by_target.items()):
            # Permits for cold targets become due without the end of another one.
            self._grant_from_queue(target, now)
            if not queue.requests and queue.is_idle(now):
                del self._queues_by_target[target]
        for target in list(self._slots_by_target):
            self._prune_slots(target)

    @callback
    def _get_or_create_slots(self, target: str) -> TargetSlots:
        """Return the use of a target's slots."""
        slots = self._slots_by_target.get(target)
        if slots is None:
            slots = self._slots_by_target[target] = TargetSlots(limit=1)
        return slots

    @callback
    def _prune_slots(self, target: str) -> None:
        """Drop the slots of a target that is gone, once no permit of them is out.

        Targets that start again are others each time: kept, the slots of all that ever
        were would grow an instance's memory as long as it lives.
        """
        slots = self._slots_by_target.get(target)
        if (
            slots is not None
            and target not in self._known_targets
            and not slots.running
        ):
            del self._slots_by_target[target]

    @callback
    def _queue_for(self, target: str) -> TargetQueue:
        """Return those who wait for a target, or for any when it is empty."""
        queue = self._queues_by_target.get(target)
        if queue is None:
            queue = self._queues_by_target[target] = TargetQueue()
        return queue

    @callback
    def _choose_target(self, request: PermitRequest, now: float) -> str | None:
        """Return the target that a request may be sent to at once."""
        names = (request.target,) if request.target else self._eligible_targets
        uses_by_target = {name: self._get_or_create_slots(name) for name in names}
        candidates = [
            name
            for name, use in uses_by_target.items()
            if use.is_free and not use.cold.time_until_permit(now)
        ]
        if not candidates:
            candidates = [
                name
                for name, use in uses_by_target.items()
                if use.running < self._max_permits(use) and not use.cold.is_cold(now)
            ]
        if not candidates:
            return None
        return min(candidates, key=lambda target: self._rank(target, request, now))

    @callback
    def _rank(
        self, target: str, request: PermitRequest, now: float
    ) -> tuple[bool, bool, bool, float, str]:
        """Return by what free targets are chosen: sound ones first, then fast ones."""
        slots = self._slots_by_target[target]
        load = (slots.running + 1) / slots.limit
        distance = 1.0 if slots.zone == request.zone else OTHER_ZONE_FACTOR
        return (
            target == request.avoided,
            now < slots.avoided_until,
            slots.cold.is_cold(now),
            slots.mean_time * (1 + load) * distance,
            target,
        )

    @callback
    def _expected_hold(self, slots: TargetSlots) -> float:
        """Return for how long a request has one of a target's slots, in seconds."""
        return (
            slots.mean_hold or self._service_average.mean_hold or INITIAL_REQUEST_TIME
        )

    @callback
    def _slot_pace(self, target: str, now: float) -> SlotPace:
        """Return how fast the slots of a target, or of all, become free."""
        names = (target,) if target else self._eligible_targets
        uses = [
            (use, self._max_permits(use))
            for use in map(self._get_or_create_slots, names)
        ]
        rates = [permits / self._expected_hold(use) for use, permits in uses]
        if not any(rates):
            return NO_TARGETS_PACE
        limits = [use.cold.rate(now) for use, _ in uses]
        return SlotPace(
            free_in=min(
                self._time_until_permit(use, permits, now) for use, permits in uses
            ),
            interval=1 / sum(map(min, rates, limits)),
            hold=sum(permits for _, permits in uses) / sum(rates),
        )

    @callback
    def _time_until_permit(self, slots: TargetSlots, permits: int, now: float) -> float:
        """Return the seconds until a target's next permit may be given."""
        free_in = slots.free_in(permits, self._expected_hold(slots), now)
        return max(free_in, slots.cold.time_until_permit(now))

    @callback
    def _max_permits(self, slots: TargetSlots) -> int:
        """Return how many permits may be out for a target while no slot is free."""
        return slots.max_permits(self._turnaround.round_trip_bound)

    @callback
    def _grant(self, request: PermitRequest, target: str, now: float) -> None:
        """Give a permit."""
        pace = self._slot_pace(request.target, now)
        self._queue_for(request.target).record_grant(request, pace, now)
        slots = self._get_or_create_slots(target)
        slots.granted_at_by_request[request.id] = now
        slots.cold.record(now)
        self._target_by_request[request.id] = target
        request.on_decision(PermitDecision(target=target))

    @callback
    def _review(self, target: str, now: float) -> None:
        """Order those who wait for a target; reject those whose turn comes too late."""
        queue = self._queues_by_target.get(target)
        if queue is None or not queue.requests:
            return
        for rejection in queue.review(self._slot_pace(target, now), now):
            _reject(rejection.request, rejection.retry_after)

    @callback
    def _reject_all(self, target: str) -> None:
        """Reject everyone who waits for a target that is gone."""
        queue = self._queues_by_target.pop(target, None)
        for request in queue.requests if queue is not None else ():
            _reject(request, MIN_RETRY_AFTER)

    @callback
    def _grant_waiting(self, target: str, now: float) -> None:
        """Give a slot that became free to whoever waits for it."""
        self._grant_from_queue(target, now)
        if target in self._eligible_targets:
            self._grant_from_queue("", now)

    @callback
    def _grant_from_queue(self, target: str, now: float) -> None:
        """Give the free slots of a target, or of any, to those who wait for them."""
        self._review(target, now)
        queue = self._queues_by_target.get(target)
        while queue is not None and queue.requests:
            request = queue.requests[0]
            free = self._choose_target(request, now)
            if free is None:
                break
            queue.requests.pop(0)
            self._grant(request, free, now)

    @callback
    def _withdraw(self, request_id: tuple[str, int]) -> None:
        """Forget a request that waits no longer."""
        for queue in self._queues_by_target.values():
            for request in queue.requests:
                if request.id == request_id:
                    queue.requests.remove(request)
                    return


@callback
def _reject(request: PermitRequest, retry_after: float) -> None:
    """Tell an asker that there is no slot, and when there may be one."""
    request.on_decision(PermitDecision(target="", retry_after=retry_after))
