"""Routes for callers' requests."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.model.request_kind import RequestKind


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Routing rules for one path prefix of a host; times are in seconds."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    """Time after which the caller receives a final answer, even if no target
    answered."""

    objective: float
    """Target latency: time within which the caller should receive an answer."""

    priority: int
    """Priority of the route's requests; 0 is the highest."""

    max_attempts: int
    """Maximum number of targets to which one request may be sent."""

    weighted_services: tuple[WeightedService, ...]
    """Services among which the requests are split; just one if there is no split."""
