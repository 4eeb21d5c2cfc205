"""Fair admission of callers that compete for the slots of one service."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from swiftpin.core import callback
from swiftpin.permits.admitted_request import AdmittedRequest
from swiftpin.permits.caller_shares import CallerShares
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_queue import PermitQueue
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.queue_outlook import QueueOutlook
from swiftpin.permits.reservation import Reservation, Subject
from swiftpin.permits.reservation_counts import ReservationCounts, ReservationEvent
from swiftpin.permits.retry_spread import (
    EARLIEST_RETRY_SHARE,
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
)
from swiftpin.permits.return_ledger import ReturnLedger

RETURN_PRECEDENCE: Final = -1.0
"""Precedence of requests with a reservation; that of newcomers is 0 or higher."""


class FairAdmission:
    """Ranks the requests for one service and reserves capacity for rejected callers.

    Handles a load of more than the capacity, with callers that retry at once beside
    callers that wait as told. It changes requests before they reach the queue, and
    rejections on their way back.
    """

    def __init__(
        self, service: str, queue: PermitQueue, counts: ReservationCounts
    ) -> None:
        self._service = service
        self._queue = queue
        self._counts = counts
        self._ledger = ReturnLedger()
        self._shares_by_kind: dict[tuple[str, int], CallerShares] = {}
        """Shares by target and priority, while requests wait for the target."""

        self._undecided_by_id: dict[tuple[str, int], AdmittedRequest] = {}
        self._undecided_by_target: dict[str, int] = {}
        self._now = 0.0
        """Time of the latest event; the queue decides at that time."""

    @callback
    def admit(self, request: PermitRequest, now: float) -> PermitRequest | None:
        """Return the request to submit to the queue, None if it was rejected."""
        self._now = now
        reservation = early_for = None
        if len(self._ledger) and request.caller:
            subject = Subject(request.caller, request.target, request.priority)
            reservation = self._ledger.use(subject, request.ends_at, now)
            if reservation is None:
                early_for = self._ledger.find_early(subject, request.ends_at, now)
        if early_for is not None and not self._admit_early(request, early_for):
            return None
        objective_at = request.objective_at
        planned_objective_at = objective_at
        if reservation is not None and reservation.is_for(request.ends_at):
            objective_at = reservation.objective_at
            planned_objective_at = reservation.objective_on_return(now)
        start = self._start(request, now)
        precedence = start
        if reservation is not None:
            precedence = RETURN_PRECEDENCE
            self._counts.record(self._service, ReservationEvent.USED)
        admitted = AdmittedRequest(
            request=request,
            start=start,
            objective_at=objective_at,
            early_for=early_for,
            decide=self._decide,
        )
        self._undecided_by_id[request.id] = admitted
        undecided = self._undecided_by_target.get(request.target, 0)
        self._undecided_by_target[request.target] = undecided + 1
        return replace(
            request,
            objective_at=planned_objective_at,
            precedence=precedence,
            on_decision=admitted,
        )

    @callback
    def withdraw(self, request_id: tuple[str, int], now: float) -> None:
        """Forget a request that no longer waits for a decision."""
        self._now = now
        self._forget(request_id)

    @callback
    def withdraw_all(self, requester: str, now: float) -> None:
        """Forget all requests of one requester."""
        self._now = now
        for request_id in [key for key in self._undecided_by_id if key[0] == requester]:
            self._forget(request_id)

    @callback
    def expire(self, now: float) -> None:
        """Remove expired reservations, and forget idle callers."""
        self._now = now
        expired = self._ledger.expire(now)
        if expired:
            self._counts.record(self._service, ReservationEvent.EXPIRED, expired)
        for kind, shares in list(self._shares_by_kind.items()):
            shares.forget_idle(now)
            if not shares:
                del self._shares_by_kind[kind]

    @callback
    def _admit_early(self, request: PermitRequest, reservation: Reservation) -> bool:
        """Reject a request that comes before its time unless there is a free slot."""
        self._counts.record(self._service, ReservationEvent.EARLY_RETURN)
        outlook = self._queue.outlook(request.target, self._now)
        if not outlook.waiting and outlook.free_in <= 0:
            return True
        rest = reservation.due_at - self._now
        request.on_decision(PermitDecision(target="", retry_after=_bounded(rest)))
        return False

    @callback
    def _start(self, request: PermitRequest, now: float) -> float:
        """Return the start of a request in the virtual time of its kind."""
        kind = (request.target, request.priority)
        if request.target not in self._undecided_by_target:
            # Without competition, all callers have the same rank.
            if self._shares_by_kind:
                self._shares_by_kind.pop(kind, None)
            return 0.0
        shares = self._shares_by_kind.get(kind)
        if shares is None:
            shares = self._shares_by_kind[kind] = CallerShares()
        return shares.add(request.caller, now)

    @callback
    def _forget(self, request_id: tuple[str, int]) -> None:
        """Forget a request that was decided or withdrawn."""
        admitted = self._undecided_by_id.pop(request_id, None)
        if admitted is None:
            return
        target = admitted.request.target
        undecided = self._undecided_by_target.pop(target) - 1
        if undecided:
            self._undecided_by_target[target] = undecided

    @callback
    def _decide(self, admitted: AdmittedRequest, decision: PermitDecision) -> None:
        """Pass on a decision, with a reservation if it is a rejection."""
        request = admitted.request
        self._forget(request.id)
        if not decision.is_granted:
            request.on_decision(self._reserve(admitted, decision))
            return
        shares = self._shares_by_kind.get((request.target, request.priority))
        if shares is not None:
            shares.record_grant(admitted.start)
        if admitted.early_for is not None:
            self._ledger.remove(admitted.early_for)
        request.on_decision(decision)

    @callback
    def _reserve(
        self, admitted: AdmittedRequest, decision: PermitDecision
    ) -> PermitDecision:
        """Return a rejection with the time from which there is capacity."""
        if decision.is_rate_limited:
            return decision
        request = admitted.request
        if admitted.early_for is not None:
            rest = admitted.early_for.due_at - self._now
            return replace(decision, retry_after=_bounded(rest))
        outlook = self._queue.outlook(request.target, self._now)
        min_wait = MIN_RETRY_AFTER
        if decision.retry_after > _max_queue_retry(outlook):
            # Not the queue's own estimate: there is no capacity before that time.
            min_wait = decision.retry_after
        due_at = self._ledger.next_due_at(request.target, outlook, min_wait, self._now)
        reservation = self._ledger.reserve(
            request, admitted.objective_at, outlook, due_at, self._now
        )
        wait = due_at - self._now
        if reservation is None:
            wait = max(wait, decision.retry_after)
        else:
            self._counts.record(self._service, ReservationEvent.MADE)
        return replace(decision, retry_after=_bounded(wait))


@callback
def _max_queue_retry(outlook: QueueOutlook) -> float:
    """Return the highest retry delay that a queue gives by itself."""
    drain_time = outlook.free_in + outlook.waiting * outlook.interval
    return drain_time * (1 + EARLIEST_RETRY_SHARE) + MIN_RETRY_AFTER


@callback
def _bounded(retry_after: float) -> float:
    """Return a retry delay within its bounds."""
    return min(max(retry_after, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
