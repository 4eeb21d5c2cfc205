"""Declaration of a service and the limits of its targets."""

from __future__ import annotations

from dataclasses import dataclass
import math


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """Declaration of one service."""

    name: str
    is_keyed: bool
    """Whether every key is served only by the target that owns it."""

    health_path: str
    max_connections: int
    """Connections that one target accepts in total, from all instances."""

    warmup: float
    """Seconds for which a target is slow on keys that it got without a handover."""

    cold_start: float = 0.0
    """Seconds for which a target is cold after its start."""

    cold_rate: float = math.inf
    """Requests per second that a cold target can handle."""
