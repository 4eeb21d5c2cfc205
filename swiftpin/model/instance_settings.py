"""Settings of one router process and its environment."""

from __future__ import annotations

from dataclasses import dataclass
import math

from swiftpin.helpers.address import Address
from swiftpin.model.bounds import Bounds


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceSettings:
    """Settings of one instance."""

    name: str
    zone: str
    caller_address: Address
    """Listens for callers' requests."""

    readiness_address: Address
    """Listens for the load balancer's readiness checks."""

    peer_address: Address
    """Listens for links from other instances."""

    relay_address: Address
    """Listens for requests that other instances pass on."""

    seeds: tuple[str, ...]
    """Peer addresses of instances to contact while the store is unreachable."""

    store_address: Address
    bounds: Bounds
    target_heartbeat: float
    """Seconds between two heartbeats of a target to the store."""

    cpu_capacity: float
    """CPU time available to the instance, in cores of the reference speed."""

    bandwidth: float
    """Bandwidth of the instance's network link in bytes per second; 0 if unknown."""

    first_start: bool
    """Whether the deployment starts for the first time."""

    expects_overload: bool = False
    """Whether callers of this deployment compete for too little capacity at times."""

    plans_by_wait: bool = False
    """Whether keys in uneven demand are placed by the expected wait of callers, where
    only routes of idempotent kinds lead to their service."""

    memory_limit: float = math.inf
    """Memory of the instance, in bytes. It is killed if it uses more."""

    max_descriptors: float = math.inf
    """File descriptors that the instance may have open at a time."""
