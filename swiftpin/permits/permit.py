"""A granted permit."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.fleet.link import PeerLink


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """A granted permit, to be returned with `PermitBroker.release`."""

    number: int
    service: str
    target: str
    issuer: PeerLink | None
    """Link to the issuing instance; None if it is this instance."""
