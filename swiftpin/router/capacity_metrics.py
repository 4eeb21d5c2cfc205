"""Figures of an instance's capacity as they are exposed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
import math


@dataclass(kw_only=True, slots=True)
class CapacityMetrics:
    """Figures at the last scrape; limits are infinite where nothing is limited."""

    refused: Counter[str] = field(default_factory=Counter)
    """Requests that were refused, by what there was too little of."""

    disconnected: Counter[str] = field(default_factory=Counter)
    """Callers that were disconnected since they read too slowly, by reason."""

    closed_connections: int = 0
    """Connections that were closed because too many were open."""

    held_bytes: float = 0.0
    held_bytes_limit: float = math.inf
    connections: int = 0
    connections_limit: float = math.inf
    deliveries: int = 0
    """Long answers that are being delivered."""

    link_backlog: float = 0.0
    """Seconds of transmission that are due at the link."""

    is_overloaded: bool = False
    is_withdrawn: bool = False
