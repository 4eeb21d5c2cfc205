"""Routes of callers' requests."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.model.request_kind import RequestKind


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """A service's share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """One path prefix of a host; times in seconds."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    """After it the caller gets a final answer, whatever the targets do."""

    objective: float
    """Time within which an answer is worth most."""

    priority: int
    """Rank; 0 goes first."""

    max_attempts: int
    """Targets to which one request may be sent."""

    weighted_services: tuple[WeightedService, ...]
    """Services that share the requests; one for a plain route."""
