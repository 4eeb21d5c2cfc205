"""A request that wants a slot of a target."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from swiftpin.permits.permit_decision import PermitDecision


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """What is asked for; times on the event loop's clock."""

    id: tuple[str, int]
    """Incarnation of the asking instance and its number for the request."""

    service: str
    target: str
    """Owner of the key; empty where any target of the service will do."""

    avoided: str
    """Target to pass over where any will do, since it failed the request before."""

    zone: str
    """Availability zone of the asking instance."""

    priority: int
    objective_at: float
    """When the answer loses worth."""

    ends_at: float
    """When the answer has no use any more."""

    on_decision: Callable[[PermitDecision], None]
