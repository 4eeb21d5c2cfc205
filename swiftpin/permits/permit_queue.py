"""Queue for the slots of one service's targets, kept by the permit issuer."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.model.target import Target
from swiftpin.permits.cold_limit import ColdTarget
from swiftpin.permits.eligible_targets import EligibleTargets
from swiftpin.permits.end_estimate import ANSWER_TRANSFER_TIME
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.queue_counts import QueueCounts
from swiftpin.permits.queue_outlook import QueueOutlook
from swiftpin.permits.rejection import Rejection
from swiftpin.permits.retry_spread import MIN_RETRY_AFTER
from swiftpin.permits.review_timer import ReviewTimer
from swiftpin.permits.shared_limits import SharedLimits, limits_of_only_issuer
from swiftpin.permits.slot_pace import SlotPace
from swiftpin.permits.target_pace import TargetPace, slot_pace_of
from swiftpin.permits.target_queue import (
    MAX_WAITING_FOR_OWNER,
    REVIEW_INTERVAL,
    TargetQueue,
)
from swiftpin.permits.target_ranking import OTHER_ZONE_FACTOR, expected_time
from swiftpin.permits.target_slots import INITIAL_REQUEST_TIME, TargetSlots
from swiftpin.permits.turnaround import Turnaround

MAX_WAITING: Final = 2000
"""Maximum number of requests that wait for any target of a service. They are rejected
as soon as they can't be served by their end; the number only bounds the memory and the
time of a review."""

NO_TARGETS_PACE: Final = SlotPace(free_in=2.0, interval=2.0, hold=INITIAL_REQUEST_TIME)
"""Assumed pace for a service without targets: lost targets are replaced within about
two seconds."""


class PermitQueue:
    """Grants permits for the slots of targets, most urgent requests first.

    Without it, each instance would guess which targets have free slots. Full targets
    reset connections, and a request that must not be repeated is lost with its
    connection.
    """

    def __init__(
        self,
        service: str,
        on_turnaround: Callable[[str, float], None] | None = None,
        shared_limits: SharedLimits | None = None,
        *,
        max_waiting: int = MAX_WAITING,
        review_interval: float = REVIEW_INTERVAL,
    ) -> None:
        self._service = service
        self._shared_limits = shared_limits or limits_of_only_issuer()
        self._on_turnaround = on_turnaround
        self._slots_by_target: dict[str, TargetSlots] = {}
        self._eligible = EligibleTargets(self._shared_limits.rate_limited_targets)
        self._known_targets: frozenset[str] = frozenset()
        self._queues_by_target: dict[str, TargetQueue] = {}
        self._queue_by_request: dict[tuple[str, int], TargetQueue] = {}
        self._target_by_request: dict[tuple[str, int], str] = {}
        self._max_waiting = max_waiting
        self._review_interval = review_interval
        self._full_state: tuple[int, float] | None = None
        """Number of changes of the eligible targets and round-trip time at which none
        had room for a request; they have none until either changes."""

        self._rejected = 0
        self._review_timer = ReviewTimer(self._review_all)
        self._service_average = TargetSlots(limit=1)
        """Holds the recent mean hold time over all targets of the service."""

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
        """Update the targets that are eligible for requests without a key.

        Targets that are `leaving` still get requests for the keys that they own. A
        target that is no longer in either list is removed: its waiters are rejected.
        """
        cold_by_id = cold_by_id or {}
        targets = list(targets)
        known = [*targets, *leaving]
        removed = self._known_targets - {target.id for target in known}
        self._known_targets = frozenset(target.id for target in known)
        for target in known:
            slots = self._get_or_create_slots(target.id)
            slots.limit = target.slots
            slots.zone = target.zone
            slots.cold.set(cold_by_id.get(target.id), now)
        self._eligible.replace(
            {target.id: self._slots_by_target[target.id] for target in targets}, now
        )
        for target_id in removed:
            self._reject_all(target_id)
            self._prune_slots(target_id)
        for target_id in list(self._queues_by_target):
            self._grant_waiting(target_id, now, is_review_due=True)

    @callback
    def submit(self, request: PermitRequest, now: float) -> None:
        """Grant, queue or reject a request."""
        if self._is_unservable(request):
            self._reject(Rejection(request=request, retry_after=MIN_RETRY_AFTER))
            return
        if self._reject_if_unreachable(request, now):
            return
        target = self._choose_target(request, now)
        if target is not None and now + ANSWER_TRANSFER_TIME <= request.ends_at:
            self._grant(request, target, now)
            return
        queue = self._queue_for(request.target)
        queue.waiting.add(request)
        self._queue_by_request[request.id] = queue
        if queue.is_review_due(now):
            self._review(queue, self._slot_pace(request.target, now), now)
        else:
            self._review_timer.start(self._review_interval, now)

    @callback
    def try_grant(
        self, request: PermitRequest, is_allowed: Callable[[str], bool], now: float
    ) -> bool:
        """Grant a permit for an allowed target that is free, or do nothing.

        Return whether there is a permit.
        """
        names = (
            (request.target,)
            if request.target
            else self._eligible.reachable_names(now) - request.excluded
        )
        allowed = [name for name in names if is_allowed(name)]
        target = self._choose_from(allowed, request, now)
        if target is None or now + ANSWER_TRANSFER_TIME > request.ends_at:
            return False
        self._grant(request, target, now)
        return True

    @callback
    def release(
        self,
        request_id: tuple[str, int],
        seconds: float,
        *,
        failed: bool,
        now: float,
        abandoned: bool = False,
        unreachable: bool = False,
    ) -> None:
        """Release a permit, or withdraw a queued request.

        `seconds` is the time that the target took, 0 if it says nothing about the
        target. An `abandoned` request would have taken at least that long. A target is
        `unreachable` if no connection to it could be opened.
        """
        target = self._target_by_request.pop(request_id, None)
        if target is None:
            self._withdraw(request_id)
            return
        slots = self._get_or_create_slots(target)
        hold = now - slots.granted_at_by_request.pop(request_id)
        if unreachable:
            slots.record_failed_connection(now)
        elif seconds > 0 and not abandoned:
            slots.record_answer()
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
        self._eligible.update(target, now)
        self._prune_slots(target)
        if unreachable and (queue := self._queues_by_target.get("")) is not None:
            for request in list(queue.waiting):
                if self._reject_if_unreachable(request, now):
                    self._withdraw(request.id)
        self._grant_waiting(target, now)

    @callback
    def release_all(self, requester: str, now: float) -> None:
        """Release all permits and withdraw all requests of one requester."""
        for request_id in [
            key for key in self._queue_by_request if key[0] == requester
        ]:
            self._withdraw(request_id)
        for request_id in [
            key for key in self._target_by_request if key[0] == requester
        ]:
            self.release(request_id, 0.0, failed=False, now=now)

    @callback
    def expire(self, now: float) -> None:
        """Reject requests that can't be served in time, and forget idle targets."""
        for target, queue in list(self._queues_by_target.items()):
            # Permits for limited targets become available without any other release.
            self._grant_from_queue(target, now)
            if queue.is_idle(now):
                del self._queues_by_target[target]
        for target in self._slots_by_target.keys() - self._known_targets:
            self._prune_slots(target)

    @callback
    def counts(self) -> QueueCounts:
        """Return the counts of requests."""
        return QueueCounts(waiting=len(self._queue_by_request), rejected=self._rejected)

    @callback
    def outlook(self, target: str, now: float) -> QueueOutlook:
        """Return the outlook of the queue for a target, or for any if it is empty."""
        pace = self._slot_pace(target, now)
        queue = self._queues_by_target.get(target)
        return QueueOutlook(
            free_in=pace.free_in,
            interval=pace.interval,
            hold=pace.hold,
            waiting=0 if queue is None else len(queue.waiting),
        )

    @callback
    def _get_or_create_slots(self, target: str) -> TargetSlots:
        """Return the slots of a target, creating the entry if needed."""
        slots = self._slots_by_target.get(target)
        if slots is None:
            slots = self._slots_by_target[target] = TargetSlots(limit=1)
        return slots

    @callback
    def _prune_slots(self, target: str) -> None:
        """Forget a removed target's slots once none of its permits is outstanding.

        A target gets a new id with each start, so the instance's memory would grow
        without limit if they were kept.
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
        """Return the queue for a target, or for any target if the name is empty."""
        queue = self._queues_by_target.get(target)
        if queue is None:
            queue = self._queues_by_target[target] = TargetQueue(
                MAX_WAITING_FOR_OWNER if target else self._max_waiting,
                self._review_interval,
            )
        return queue

    @callback
    def _is_unservable(self, request: PermitRequest) -> bool:
        """Return whether a request has no target or no usable times."""
        if math.isnan(request.objective_at) or math.isnan(request.ends_at):
            return True
        if request.target or not request.excluded:
            return False
        excluded = sum(target in self._eligible for target in request.excluded)
        return excluded == len(self._eligible)

    @callback
    def _choose_target(self, request: PermitRequest, now: float) -> str | None:
        """Return the best target that a request may be sent to at once, if any."""
        if request.target:
            return self._choose_from((request.target,), request, now)
        self._eligible.refresh(now)
        state = (self._eligible.changes, self._turnaround.round_trip_bound)
        if self._full_state == state:
            return None
        ranking = self._eligible.ranking
        skipped = request.excluded
        if request.avoided:
            skipped = skipped | {request.avoided}
        target = ranking.best_free(request.zone, skipped)
        if target is not None:
            return target
        others = self._unranked_targets(request)
        if others and (target := self._choose_free(others, request, now)) is not None:
            return target
        target = ranking.best_full(
            request.zone,
            skipped,
            self._slots_by_target,
            self._turnaround.round_trip_bound,
        )
        if target is not None:
            return target
        if not others:
            if not request.excluded:
                self._full_state = state
            return None
        return self._choose_full(others, request, now)

    @callback
    def _unranked_targets(self, request: PermitRequest) -> set[str]:
        """Return the targets for a request that are compared one by one."""
        targets = set(self._eligible.unranked)
        if request.avoided in self._eligible:
            targets.add(request.avoided)
        return targets - request.excluded - self._eligible.unreachable

    @callback
    def _choose_from(
        self, targets: Iterable[str], request: PermitRequest, now: float
    ) -> str | None:
        """Return the best of a few targets that may get a request at once, if any."""
        target = self._choose_free(targets, request, now)
        return self._choose_full(targets, request, now) if target is None else target

    @callback
    def _choose_free(
        self, targets: Iterable[str], request: PermitRequest, now: float
    ) -> str | None:
        """Return the best of a few targets with a free slot and no limit, if any."""
        rate_limited = self._shared_limits.rate_limited_targets
        candidates = [
            name
            for name in targets
            if (slots := self._get_or_create_slots(name)).is_free
            and (
                (name not in rate_limited and not slots.cold.is_cold(now))
                or not self._time_until_limits(request.target, name, now)
            )
        ]
        return min(
            candidates,
            key=lambda target: self._rank(target, request, now),
            default=None,
        )

    @callback
    def _choose_full(
        self, targets: Iterable[str], request: PermitRequest, now: float
    ) -> str | None:
        """Return the best of a few targets that may get another permit, if any."""
        rate_limited = self._shared_limits.rate_limited_targets
        candidates = [
            name
            for name in targets
            if (slots := self._get_or_create_slots(name)).running
            < self._max_permits(slots)
            and name not in rate_limited
            and not slots.cold.is_cold(now)
        ]
        return min(
            candidates,
            key=lambda target: self._rank(target, request, now),
            default=None,
        )

    @callback
    def _rank(
        self, target: str, request: PermitRequest, now: float
    ) -> tuple[bool, bool, bool, bool, float, str]:
        """Return the sort key of a target: healthy ones first, then fast ones."""
        slots = self._slots_by_target[target]
        distance = 1.0 if slots.zone == request.zone else OTHER_ZONE_FACTOR
        return (
            target == request.avoided,
            now < slots.avoided_until,
            slots.cold.is_cold(now),
            target in self._shared_limits.rate_limited_targets,
            expected_time(slots) * distance,
            target,
        )

    @callback
    def _expected_hold(self, slots: TargetSlots) -> float:
        """Return the expected seconds for which a permit of a target is outstanding."""
        return (
            slots.mean_hold or self._service_average.mean_hold or INITIAL_REQUEST_TIME
        )

    @callback
    def _mean_hold(self, target: str, now: float) -> float:
        """Return the mean hold time of a target, or of all eligible targets."""
        self._eligible.refresh(now)
        if target or self._eligible.limited:
            return self._slot_pace(target, now).hold
        self._eligible.pace.set_round_trip(self._turnaround.round_trip_bound, now)
        hold = self._eligible.pace.mean_hold(
            self._service_average.mean_hold or INITIAL_REQUEST_TIME
        )
        return NO_TARGETS_PACE.hold if hold is None else hold

    @callback
    def _slot_pace(self, target: str, now: float) -> SlotPace:
        """Return the pace of the slots of a target, or of all eligible targets."""
        if target:
            pace = slot_pace_of(self._target_pace(target, target, now))
            return pace or NO_TARGETS_PACE
        self._eligible.refresh(now)
        self._eligible.pace.set_round_trip(self._turnaround.round_trip_bound, now)
        pace = self._eligible.pace.combine(
            [self._target_pace("", name, now) for name in self._eligible.limited],
            self._service_average.mean_hold or INITIAL_REQUEST_TIME,
            now,
        )
        return pace or NO_TARGETS_PACE

    @callback
    def _target_pace(self, queue_name: str, target: str, now: float) -> TargetPace:
        """Return the pace of one target for the requests of a queue."""
        slots = self._get_or_create_slots(target)
        max_permits = self._max_permits(slots)
        hold = self._expected_hold(slots)
        slot_rate = max_permits / hold
        free_in = slots.free_in(max_permits, hold, now)
        is_rate_limited = target in self._shared_limits.rate_limited_targets
        if not is_rate_limited and not slots.cold.is_cold(now):
            return TargetPace(max_permits, slot_rate, slot_rate, free_in)
        free_in = max(free_in, self._time_until_cold_permit(queue_name, target, now))
        rate_wait = self._time_until_rate_permit(queue_name, target, now)
        rate_limit = self._shared_limits.rate_limit_of(target)
        return TargetPace(
            max_permits=max_permits,
            slot_rate=slot_rate,
            max_rate=min(slot_rate, slots.cold.rate(now), rate_limit),
            free_in=max(free_in, rate_wait),
            is_rate_limited=rate_limit < slot_rate or rate_wait > free_in,
        )

    @callback
    def _time_until_limits(self, queue_name: str, target: str, now: float) -> float:
        """Return the seconds until the limits of a target allow a permit."""
        return max(
            self._time_until_cold_permit(queue_name, target, now),
            self._time_until_rate_permit(queue_name, target, now),
        )

    @callback
    def _time_until_cold_permit(
        self, queue_name: str, target: str, now: float
    ) -> float:
        """Return the seconds until the rate of a cold target allows a permit."""
        return self._shared_limits.time_until_cold_permit(
            queue_name or self._service, self._get_or_create_slots(target).cold, now
        )

    @callback
    def _time_until_rate_permit(
        self, queue_name: str, target: str, now: float
    ) -> float:
        """Return the seconds until the rate limit of a target allows a permit."""
        return self._shared_limits.time_until_rate_permit(
            queue_name or self._service,
            target,
            self._get_or_create_slots(target).rate_limiter,
            now,
        )

    @callback
    def _max_permits(self, slots: TargetSlots) -> int:
        """Return how many permits of a target may be outstanding if no slot is free."""
        return slots.max_permits(self._turnaround.round_trip_bound)

    @callback
    def _grant(self, request: PermitRequest, target: str, now: float) -> None:
        """Grant a permit."""
        hold = self._mean_hold(request.target, now)
        self._queue_for(request.target).record_grant(request, hold, now)
        slots = self._get_or_create_slots(target)
        slots.granted_at_by_request[request.id] = now
        slots.cold.record(now)
        slots.rate_limiter.record(self._shared_limits.rate_limit_of(target), now)
        self._target_by_request[request.id] = target
        self._eligible.update_granted(target, now)
        request.on_decision(
            PermitDecision(
                target=target,
                is_rate_limited=target in self._shared_limits.rate_limited_targets,
            )
        )

    @callback
    def _review(self, queue: TargetQueue, pace: SlotPace, now: float) -> None:
        """Order the requests of a queue and reject those that can't be served."""
        self._reject_removed(queue.review(pace, now))

    @callback
    def _review_all(self, now: float) -> None:
        """Review the queues whose review was postponed."""
        for target in list(self._queues_by_target):
            self._grant_from_queue(target, now)

    @callback
    def _reject_removed(self, rejections: Iterable[Rejection]) -> None:
        """Reject requests that were removed from their queue."""
        for rejection in rejections:
            self._queue_by_request.pop(rejection.request.id, None)
            self._reject(rejection)

    @callback
    def _reject_if_unreachable(self, request: PermitRequest, now: float) -> bool:
        """Reject a request that could run at unreachable targets only.

        Its caller may retry when one of them is tried again.
        """
        if request.target:
            return False
        delay = self._eligible.reconnect_delay(request.excluded, now)
        if delay is None:
            return False
        retry_after = max(delay, MIN_RETRY_AFTER)
        self._reject(Rejection(request=request, retry_after=retry_after))
        return True

    @callback
    def _reject_all(self, target: str) -> None:
        """Reject all requests that wait for a removed target."""
        queue = self._queues_by_target.pop(target, None)
        if queue is None:
            return
        self._reject_removed(
            [
                Rejection(request=request, retry_after=MIN_RETRY_AFTER)
                for request in queue.waiting
            ]
        )

    @callback
    def _grant_waiting(
        self, target: str, now: float, *, is_review_due: bool = False
    ) -> None:
        """Grant a target's free slots to requests for it, then to unkeyed ones."""
        self._grant_from_queue(target, now, is_review_due=is_review_due)
        if target in self._eligible:
            self._grant_from_queue("", now, is_review_due=is_review_due)

    @callback
    def _grant_from_queue(
        self, target: str, now: float, *, is_review_due: bool = False
    ) -> None:
        """Grant free slots to the requests for a target, or for any target."""
        queue = self._queues_by_target.get(target)
        if queue is None or not queue.waiting:
            return
        pace = self._slot_pace(target, now)
        unservable: list[PermitRequest] = []
        if queue.is_review_due(now) or is_review_due:
            self._review(queue, pace, now)
            requests = queue.reviewed_requests(pace, now)
        else:
            self._review_timer.start(self._review_interval, now)
            requests = queue.next_requests(pace, now, unservable)
        self._grant_in_order(queue, requests, now)
        if unservable:
            self._reject_removed(queue.reject(unservable, pace))

    @callback
    def _grant_in_order(
        self, queue: TargetQueue, requests: Iterable[PermitRequest], now: float
    ) -> None:
        """Grant free slots to ordered requests of a queue."""
        for request in requests:
            free_target = self._choose_target(request, now)
            if free_target is not None:
                queue.waiting.remove(request.id)
                del self._queue_by_request[request.id]
                self._grant(request, free_target, now)
                if not request.target and not self._has_room(now):
                    return
            elif not request.excluded:
                # No target is free for those behind it either.
                return

    @callback
    def _has_room(self, now: float) -> bool:
        """Return whether any target may have room for a request without a key."""
        self._eligible.refresh(now)
        if self._eligible.unranked:
            return True
        round_trip = self._turnaround.round_trip_bound
        if self._eligible.pace.has_room(round_trip) is not False:
            return True
        self._full_state = (self._eligible.changes, round_trip)
        return False

    @callback
    def _withdraw(self, request_id: tuple[str, int]) -> None:
        """Remove a request that is no longer pending."""
        queue = self._queue_by_request.pop(request_id, None)
        if queue is not None:
            queue.waiting.remove(request_id)

    @callback
    def _reject(self, rejection: Rejection) -> None:
        """Reject a request and say when to retry."""
        self._rejected += 1
        rejection.request.on_decision(
            PermitDecision(
                target="",
                retry_after=rejection.retry_after,
                is_rate_limited=rejection.is_rate_limited,
            )
        )
