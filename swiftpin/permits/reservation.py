"""Reservation of capacity for a rejected caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

from swiftpin.core import callback
from swiftpin.permits.end_estimate import ANSWER_TRANSFER_TIME

GRACE_TIME: Final = 1.0
"""Seconds after its time for which a reservation can be used."""

EARLY_TOLERANCE: Final = 0.02
"""Seconds by which a caller may return before its time: the times of the messages
between the caller, the instances and the issuer vary by some milliseconds."""

SAME_END_TOLERANCE: Final = 0.1
"""Seconds by which the ends of two attempts of one request may differ: the caller
states the time left with each attempt, and their transfers take different times."""

SPARE_HOLDS: Final = 0.5
"""Mean slot hold times between the planned and the latest end of a late request. Slots
would be used for answers that nobody awaits if the plan left no margin."""


class Subject(NamedTuple):
    """What a caller competes for.

    A named tuple is created and hashed faster than a frozen data class; one is needed
    for each request.
    """

    caller: int
    target: str
    """Owner of the key; empty if any target of the service is eligible."""

    priority: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Capacity that a rejected caller may use; times are on the issuer's clock."""

    number: int
    subject: Subject
    due_at: float
    """Time from which there is capacity."""

    objective_at: float
    """Objective of the request's first attempt, as far as the issuer knows it."""

    ends_at: float
    """End of the rejected request."""

    hold: float
    """Seconds for which a request holds its slot."""

    @callback
    def is_due(self, now: float) -> bool:
        """Return whether the reservation can be used."""
        return self.due_at - EARLY_TOLERANCE <= now <= self.due_at + GRACE_TIME

    @callback
    def is_expired(self, now: float) -> bool:
        """Return whether the reservation is past its time."""
        return now > self.due_at + GRACE_TIME

    @callback
    def is_for(self, ends_at: float) -> bool:
        """Return whether an attempt that ends at a time is of the rejected request."""
        return abs(self.ends_at - ends_at) <= SAME_END_TOLERANCE

    @callback
    def objective_on_return(self, now: float) -> float:
        """Return the objective by which the returned request is planned.

        Its first objective, if that can still be met. Otherwise it is served by its
        end, so that it delays no request that can be in time.
        """
        if now + self.hold <= self.objective_at:
            return self.objective_at
        return self.ends_at - ANSWER_TRANSFER_TIME - SPARE_HOLDS * self.hold
