"""A server of a service, as it registered itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """One incarnation of a target."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    """Requests that it runs at the same time."""

    is_draining: bool
    cold_for: float
    """Seconds for which it said it would be slow after its start."""

    revision: int
    """Store revision of its entry."""
