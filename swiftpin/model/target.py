"""A server of a service, as it registered itself."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.model.target_life import TargetLife


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """One life of a target."""

    life: TargetLife
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

    @property
    def id(self) -> str:
        """Return the key of this life."""
        return self.life.id

    @property
    def name(self) -> str:
        """Return what the target answers to, in this life and in others."""
        return self.life.name
