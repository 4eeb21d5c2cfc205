"""Request between its admission and its decision."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from swiftpin.core import callback
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.reservation import Reservation


@dataclass(kw_only=True, slots=True)
class AdmittedRequest:
    """A request that the queue decides on; called with the decision."""

    request: PermitRequest
    """The request as its caller's instance sent it."""

    start: float
    """Start in the virtual time of its kind."""

    objective_at: float
    """Objective of its first attempt, as far as the issuer knows it."""

    early_for: Reservation | None
    """Reservation that the request came too early for."""

    decide: Callable[[AdmittedRequest, PermitDecision], None]

    @callback
    def __call__(self, decision: PermitDecision) -> None:
        """Handle the queue's decision."""
        self.decide(self, decision)
