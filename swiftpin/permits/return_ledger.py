"""Ledger of the capacity reserved for rejected callers."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.permits.end_estimate import ANSWER_TRANSFER_TIME
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.queue_outlook import QueueOutlook
from swiftpin.permits.reservation import Reservation, Subject
from swiftpin.permits.retry_spread import MAX_RETRY_AFTER

MAX_RESERVATIONS: Final = 5_000
"""Reservations kept per service; the oldest are evicted first."""

RESERVABLE_SHARE: Final = 0.5
"""Share of the capacity that is reserved at most: the rest is for newcomers and for
requests of higher priority."""

HONOURED_SHARE: Final = 1 / 3
"""Share of the time left for which callers wait at most. A reservation that is due
later would not be used."""


class ReturnLedger:
    """Reserves capacity of one service for callers that are told to return.

    Handles a load in which rejected callers return to queues that newcomers have filled
    again, and are rejected a second time. Reservations of one queue follow each other
    at a share of its rate. They keep no slot idle: a reservation only lets its caller
    go before newcomers, so one that is not used wastes no capacity.
    """

    def __init__(self) -> None:
        self._reservations_by_number: dict[int, Reservation] = {}
        """All reservations, oldest first."""

        self._reservations_by_subject: dict[Subject, list[Reservation]] = {}
        self._next_at_by_target: dict[str, float] = {}
        """Time up to which the capacity of each queue is reserved."""

        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of reservations."""
        return len(self._reservations_by_number)

    @callback
    def next_due_at(
        self, target: str, outlook: QueueOutlook, min_wait: float, now: float
    ) -> float:
        """Return the first time at which a queue has capacity that is not reserved.

        It is at least `min_wait` seconds from now.
        """
        earliest = now + max(outlook.free_in, min_wait)
        return max(self._next_at_by_target.get(target, earliest), earliest)

    @callback
    def reserve(
        self,
        request: PermitRequest,
        objective_at: float,
        outlook: QueueOutlook,
        due_at: float,
        now: float,
    ) -> Reservation | None:
        """Reserve capacity for a rejected request; return None if it can't be used.

        `objective_at` is the objective of its first attempt. Capacity is of no use if
        its caller won't wait for it, or if the answer would come too late.
        """
        max_wait = min((request.ends_at - now) * HONOURED_SHARE, MAX_RETRY_AFTER)
        if (
            not request.caller
            or due_at - now > max_wait
            or due_at + outlook.hold + ANSWER_TRANSFER_TIME > request.ends_at
        ):
            return None
        self._last_number += 1
        reservation = Reservation(
            number=self._last_number,
            subject=Subject(request.caller, request.target, request.priority),
            due_at=due_at,
            objective_at=objective_at,
            ends_at=request.ends_at,
            hold=outlook.hold,
        )
        self._add(reservation)
        self._next_at_by_target[request.target] = (
            due_at + outlook.interval / RESERVABLE_SHARE
        )
        return reservation

    @callback
    def use(self, subject: Subject, ends_at: float, now: float) -> Reservation | None:
        """Use up a reservation that is due, preferably that of the same request."""
        due = [
            reservation
            for reservation in self._reservations_by_subject.get(subject, ())
            if reservation.is_due(now)
        ]
        if not due:
            return None
        reservation = min(due, key=lambda entry: abs(entry.ends_at - ends_at))
        self.remove(reservation)
        return reservation

    @callback
    def find_early(
        self, subject: Subject, ends_at: float, now: float
    ) -> Reservation | None:
        """Return the reservation of a request that is repeated before its time.

        Other requests of the same caller are not affected.
        """
        for reservation in self._reservations_by_subject.get(subject, ()):
            if reservation.due_at > now and reservation.is_for(ends_at):
                return reservation
        return None

    @callback
    def expire(self, now: float) -> int:
        """Remove the reservations past their time and return their number."""
        expired = [
            reservation
            for reservation in self._reservations_by_number.values()
            if reservation.is_expired(now)
        ]
        for reservation in expired:
            self.remove(reservation)
        for target, next_at in list(self._next_at_by_target.items()):
            if next_at < now:
                del self._next_at_by_target[target]
        return len(expired)

    @callback
    def remove(self, reservation: Reservation) -> None:
        """Remove a reservation, unless it was evicted."""
        if self._reservations_by_number.pop(reservation.number, None) is None:
            return
        others = self._reservations_by_subject[reservation.subject]
        others.remove(reservation)
        if not others:
            del self._reservations_by_subject[reservation.subject]

    @callback
    def _add(self, reservation: Reservation) -> None:
        """Add a reservation and evict the oldest one if there are too many."""
        self._reservations_by_number[reservation.number] = reservation
        self._reservations_by_subject.setdefault(reservation.subject, []).append(
            reservation
        )
        if len(self._reservations_by_number) > MAX_RESERVATIONS:
            self.remove(next(iter(self._reservations_by_number.values())))
