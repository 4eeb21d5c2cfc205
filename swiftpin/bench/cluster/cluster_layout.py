"""Addresses of a cluster's processes."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import cycle, islice
from typing import Self

from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.gateway_place import GatewayPlace
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.cluster.target_place import TargetPlace
from swiftpin.bench.processes.port_allocator import PortAllocator


@dataclass(frozen=True, kw_only=True, slots=True)
class ClusterLayout:
    """Where everything listens, `host:port`."""

    store: str
    instances: str
    gateways_by_name: dict[str, GatewayPlace]
    targets_by_id: dict[str, TargetPlace]

    @property
    def store_url(self) -> str:
        """Return the store's base URL."""
        return f"http://{self.store}"

    @property
    def instances_url(self) -> str:
        """Return the instance list's base URL."""
        return f"http://{self.instances}"

    @property
    def entries(self) -> tuple[str, ...]:
        """Return the gateways' addresses for callers."""
        return tuple(place.listen for place in self.gateways_by_name.values())

    def targets_of(self, service: str) -> list[TargetPlace]:
        """Return the targets of one service."""
        places = self.targets_by_id.values()
        return [place for place in places if place.service.name == service]

    @classmethod
    def allocate(cls, spec: ClusterSpec, ports: PortAllocator) -> Self:
        """Return a layout on free ports."""
        gateways = [
            _gateway(f"gw-{number}", zone, ports)
            for number, zone in _numbered_zones(spec, spec.gateways)
        ]
        targets = [
            _target(service, number, zone, ports)
            for service in spec.services
            for number, zone in _numbered_zones(spec, service.targets)
        ]
        return cls(
            store=ports.allocate(),
            instances=ports.allocate(),
            gateways_by_name={place.name: place for place in gateways},
            targets_by_id={place.id: place for place in targets},
        )


def _numbered_zones(spec: ClusterSpec, count: int) -> list[tuple[int, str]]:
    """Return the numbers from 1 to `count`, each with a zone in turn."""
    return list(enumerate(islice(cycle(spec.zones), count), start=1))


def _gateway(name: str, zone: str, ports: PortAllocator) -> GatewayPlace:
    """Return the place of one gateway."""
    return GatewayPlace(
        name=name,
        zone=zone,
        listen=ports.allocate(),
        peer=ports.allocate(),
        forward=ports.allocate(),
        admin=ports.allocate(),
    )


def _target(
    service: ServiceSpec, number: int, zone: str, ports: PortAllocator
) -> TargetPlace:
    """Return the place of one target."""
    return TargetPlace(
        id=f"{service.name}-{number}",
        service=service,
        zone=zone,
        address=ports.allocate(),
    )
