"""Fair admission at an issuer whose callers compete for too little capacity."""

from __future__ import annotations

from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.permits.fair_admission import FairAdmission
from swiftpin.permits.permit_queue import PermitQueue
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.reservation_counts import ReservationCounts, ReservationEvent

LOG_INTERVAL: Final = 5.0
"""Minimum seconds between two log lines of one issuer's reservations of a service."""


class CompetingCallers:
    """Keeps the fair admission of each service and logs what it did."""

    def __init__(self, counts: ReservationCounts) -> None:
        self._counts = counts
        self._admissions_by_service: dict[str, FairAdmission] = {}
        self._next_log_at_by_service: dict[str, float] = {}
        self._logged_counts_by_service: dict[str, dict[str, int]] = {}

    @callback
    def admit(
        self, request: PermitRequest, queue: PermitQueue, now: float
    ) -> PermitRequest | None:
        """Return the request to submit to the queue, None if it was rejected."""
        admission = self._admissions_by_service.get(request.service)
        if admission is None:
            admission = FairAdmission(request.service, queue, self._counts)
            self._admissions_by_service[request.service] = admission
        return admission.admit(request, now)

    @callback
    def withdraw(self, service: str, request_id: tuple[str, int], now: float) -> None:
        """Forget a request that no longer waits for a decision."""
        admission = self._admissions_by_service.get(service)
        if admission is not None:
            admission.withdraw(request_id, now)

    @callback
    def withdraw_all(self, requester: str, now: float) -> None:
        """Forget all requests of one requester."""
        for admission in self._admissions_by_service.values():
            admission.withdraw_all(requester, now)

    @callback
    def expire(self, now: float) -> None:
        """Remove expired reservations, and log what happened."""
        for service, admission in self._admissions_by_service.items():
            admission.expire(now)
            self._log(service, now)

    @callback
    def _log(self, service: str, now: float) -> None:
        """Log the counts of a service if they changed, a few times a minute."""
        if now < self._next_log_at_by_service.get(service, now):
            return
        counts = {
            event.value: self._counts.of(service, event) for event in ReservationEvent
        }
        if counts == self._logged_counts_by_service.get(
            service, dict.fromkeys(counts, 0)
        ):
            return
        self._next_log_at_by_service[service] = now + LOG_INTERVAL
        self._logged_counts_by_service[service] = counts
        log_message(message_type="callers_compete", service=service, **counts)
