"""Permit request at the issuer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from swiftpin.permits.permit_decision import PermitDecision


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """A request for a target's slot; times are on the issuer's event loop clock."""

    id: tuple[str, int]
    """Identifier of the requesting instance or link, and its number for the request."""

    service: str
    target: str
    """Owner of the key; empty if any target of the service is eligible."""

    avoided: str
    """Target that failed the request before; used only if no other one is available."""

    zone: str
    """Availability zone of the requesting instance."""

    priority: int
    objective_at: float
    """Time by which the caller should have the answer."""

    ends_at: float
    """Time after which the answer is useless."""

    on_decision: Callable[[PermitDecision], None]
    fingerprint: int = 0
    """The same for all copies of the request, 0 if it is not known."""

    excluded: frozenset[str] = frozenset()
    """Targets that the requesting instance must not call at present."""

    caller: int = 0
    """Hash of the caller's address, 0 if it is not known."""

    key: int | None = None
    """Key of a request for the owner of its key."""

    precedence: float = 0.0
    """Rank among the requests of the same priority, lower values first."""
