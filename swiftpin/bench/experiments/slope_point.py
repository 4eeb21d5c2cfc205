"""One measurement of the slopes experiment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SlopePoint:
    """Control cost at rest with so many gateways and targets.

    Means over the gateways: `cpu_percent` of one core, `resident_mb` in MB,
    `sent_bytes` a second written to sockets, HTTP and gRPC framing included.
    `store_calls` are the whole cluster's calls a second. `groups_per_gateway` is how
    many leases a gateway holds on average.
    """

    gateways: int
    targets: int
    groups_per_gateway: float
    cpu_percent: float
    cpu_percent_max: float
    resident_mb: float
    resident_mb_max: float
    sent_bytes: float
    store_calls: float
    store_writes: float
