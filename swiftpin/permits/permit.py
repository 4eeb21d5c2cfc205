"""A permit that was given."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.fleet.link import PeerLink


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """A permit that was given; it is handed back with `PermitBroker.end`."""

    number: int
    service: str
    target: str
    issuer: PeerLink | None
    """Link to the instance that gave it; None when it was this one."""
