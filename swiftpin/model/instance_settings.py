"""What a process is told about itself and its surroundings."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.helpers.address import Address
from swiftpin.model.bounds import Bounds


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceSettings:
    """Settings of one instance."""

    name: str
    zone: str
    caller_address: Address
    """Where callers' requests arrive."""

    readiness_address: Address
    """Where the balancer asks whether to send callers."""

    peer_address: Address
    """Where other instances connect."""

    seeds: tuple[str, ...]
    """Peer addresses of instances that may be asked when the store is away."""

    store_address: Address
    bounds: Bounds
    target_heartbeat: float
    """Seconds between two reports of a target to the store."""

    cpu_capacity: float
    """Share of a usual core that the instance may use."""

    bandwidth: float
    """Bytes a second of the instance's own link; 0 where it is not told."""

    first_start: bool
    """Whether the whole system starts for the first time."""
