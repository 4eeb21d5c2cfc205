"""Admission of requests for keys that get more than their owner can serve."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import replace
import math
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.model.target import Target
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.target_admission import TargetAdmission

LOG_INTERVAL: Final = 1.0
"""Minimum seconds between two log lines about hot keys of the same target."""


@callback
def _ignore(service: str) -> None:
    """Do nothing."""


class HotKeyAdmission:
    """Rejects at once what the owner of a key can't serve in time.

    A key can't be split between targets. With ten times the requests that its owner
    serves, the queue would fill up with its requests: they would be rejected only when
    their time is nearly over, and requests for the owner's other keys would be late.

    It handles one key or a few keys that each demand a large part of their owner's
    capacity. A range of keys that is hot as a whole is not limited.
    """

    def __init__(self) -> None:
        self.on_rejection: Callable[[str], None] = _ignore
        """Called with the service of each request that is rejected here."""

        self._services: frozenset[str] = frozenset()
        self._targets_by_id: dict[str, TargetAdmission] = {}
        self._places_by_request: dict[tuple[str, int], tuple[str, int]] = {}
        """Target and key of each request that waits or holds a permit."""

        self._logged_at_by_target: dict[str, float] = {}

    @callback
    def count_hot_keys(self, now: float) -> int:
        """Return the number of keys that are limited at present."""
        return sum(
            target.count_hot_keys(now) for target in self._targets_by_id.values()
        )

    @callback
    def set_services(self, services: Collection[str]) -> None:
        """Set the services whose keys are limited."""
        self._services = frozenset(services)

    @callback
    def set_targets(self, service: str, targets: Iterable[Target], now: float) -> None:
        """Update the slots of a service's targets, and forget its other targets."""
        slots_by_id = {target.id: target.slots for target in targets}
        for target_id, target in list(self._targets_by_id.items()):
            if target.service == service and target_id not in slots_by_id:
                del self._targets_by_id[target_id]
                self._logged_at_by_target.pop(target_id, None)
        if service not in self._services:
            return
        for target_id, slots in slots_by_id.items():
            if target_id not in self._targets_by_id:
                self._targets_by_id[target_id] = TargetAdmission(service=service)
            target = self._targets_by_id[target_id]
            target.slots = max(slots, 1)
            target.prune(now)

    @callback
    def admit(
        self,
        request: PermitRequest,
        withdraw: Callable[[tuple[str, int]], None],
        now: float,
    ) -> PermitRequest | None:
        """Return the request to be queued, None if it was rejected.

        `withdraw` removes a waiting request from the queue without a decision.
        """
        target = self._targets_by_id.get(request.target)
        key = request.key
        if target is None or key is None or request.service not in self._services:
            return request
        objective_at = target.demand.record_arrival(
            key, request.caller, request.objective_at, now
        )
        request = replace(request, objective_at=objective_at)
        limit = target.limit_of(key)
        if math.isinf(limit):
            return self._track(request, key, target)
        self._log(request, key, target, limit, now)
        late: PermitRequest | None = None
        if not target.may_wait(key, request, limit, now):
            late = target.first_late(key, now)
            may_wait = late is not None and now + target.mean_time < objective_at
        else:
            may_wait = target.take_turn(key, limit, now)
        if not may_wait:
            self._reject(request, key, target, limit, now)
            return None
        if late is not None:
            withdraw(late.id)
            self._forget(late.id)
            self._reject(late, key, target, limit, now)
        return self._track(request, key, target)

    @callback
    def release(self, request_id: tuple[str, int], seconds: float) -> None:
        """Record the release of a permit, or the withdrawal of a waiting request.

        `seconds` is the time that the target took, 0 if it says nothing about it.
        """
        target_id, _ = self._places_by_request.get(request_id, ("", 0))
        target = self._targets_by_id.get(target_id)
        if target is not None and seconds > 0:
            target.record_time(seconds)
        self._forget(request_id)

    @callback
    def release_all(self, requester: str) -> None:
        """Forget all requests of one requester."""
        for request_id in [it for it in self._places_by_request if it[0] == requester]:
            self._forget(request_id)

    @callback
    def _forget(self, request_id: tuple[str, int]) -> None:
        """Forget a request that no longer waits or holds a permit."""
        place = self._places_by_request.pop(request_id, None)
        target = None if place is None else self._targets_by_id.get(place[0])
        if place is not None and target is not None:
            target.forget_waiting(place[1], request_id)
            target.outstanding -= 1

    @callback
    def _track(
        self, request: PermitRequest, key: int, target: TargetAdmission
    ) -> PermitRequest:
        """Return a request whose decision is recorded."""

        def on_decision(decision: PermitDecision) -> None:
            if decision.is_granted:
                target.forget_waiting(key, request.id)
            else:
                self._forget(request.id)
                target.demand.record_rejection(
                    key, request.caller, request.objective_at
                )
            request.on_decision(decision)

        target.waiting_by_key.setdefault(key, {})[request.id] = request
        target.outstanding += 1
        self._places_by_request[request.id] = (request.target, key)
        return replace(request, on_decision=on_decision)

    @callback
    def _log(
        self,
        request: PermitRequest,
        key: int,
        target: TargetAdmission,
        limit: float,
        now: float,
    ) -> None:
        """Log that a key is limited, at most once per `LOG_INTERVAL` and target."""
        logged_at = self._logged_at_by_target.get(request.target, -math.inf)
        if now - logged_at < LOG_INTERVAL:
            return
        self._logged_at_by_target[request.target] = now
        log_message(
            message_type="hot_key_limited",
            level="warning",
            service=request.service,
            target=request.target,
            key=key,
            demand=round(target.demand.rates_by_key[key], 1),
            limit=round(limit, 1),
            capacity=round(target.capacity, 1),
        )

    @callback
    def _reject(
        self,
        request: PermitRequest,
        key: int,
        target: TargetAdmission,
        limit: float,
        now: float,
    ) -> None:
        """Reject a request with the time at which there is capacity for it."""
        target.demand.record_rejection(key, request.caller, request.objective_at)
        waiting = len(target.waiting_by_key.get(key, ()))
        retry_after = target.retries.reserve(key, limit, waiting, request.ends_at, now)
        self.on_rejection(request.service)
        request.on_decision(PermitDecision(target="", retry_after=retry_after))
