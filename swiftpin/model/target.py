"""A target of a service as it registered itself in the store."""

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
    """Number of requests that it processes concurrently."""

    is_draining: bool
    cold_for: float
    """Seconds after its start for which the target declared itself cold."""

    revision: int
    """Store revision of the target's entry."""

    @property
    def id(self) -> str:
        """Return the unique id of this life."""
        return self.life.id

    @property
    def name(self) -> str:
        """Return the target's name, the same in all of its lives."""
        return self.life.name
