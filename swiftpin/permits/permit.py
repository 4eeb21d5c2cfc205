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

    is_for_owner: bool = False
    """Whether it was asked for the owner of a key, not for any target."""

    is_rate_limited: bool = False
    """Whether the issuer took a rate limit named by the target into account."""

    granted_at: float = 0.0
    """Earliest possible time of the grant, on the suspend-aware clock."""
