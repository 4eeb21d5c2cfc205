"""Where a target of a cluster runs."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.cluster.service_spec import ServiceSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetPlace:
    """Id, zone and address `host:port` of one target; ids are unique in a cluster."""

    id: str
    service: ServiceSpec
    zone: str
    address: str
