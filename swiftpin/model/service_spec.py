"""A service and how its targets are to be treated."""

from __future__ import annotations

from dataclasses import dataclass
import math


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """Declaration of one service."""

    name: str
    is_keyed: bool
    """Whether each key is served by the one target that owns it."""

    health_path: str
    max_connections: int
    """Connections that one target accepts from all instances together."""

    warmup: float
    """Seconds for which a target serves keys slowly that came without a handover."""

    cold_start: float = 0.0
    """Seconds for which a target is cold after its start."""

    cold_rate: float = math.inf
    """Requests a second that a cold target bears."""
