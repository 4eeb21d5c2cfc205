"""Where a gateway of a cluster runs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayPlace:
    """Name, zone and addresses `host:port` of one gateway."""

    name: str
    zone: str
    listen: str
    peer: str
    forward: str
    admin: str
