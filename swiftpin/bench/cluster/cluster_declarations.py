"""Declarations of a cluster's services and profiles."""

from __future__ import annotations

from swiftpin.bench.cluster.cluster_layout import ClusterLayout
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.cluster.target_place import TargetPlace
from swiftpin.config.models.declaration_models import (
    API_VERSION,
    Declaration,
    ProfileModel,
    ServiceModel,
)
from swiftpin.config.models.metadata_model import MetadataModel
from swiftpin.config.models.service_spec_model import ServiceSpecModel
from swiftpin.config.models.target_model import TargetModel


def profile_declaration(service: ServiceSpec) -> ProfileModel:
    """Return the declaration of the service's profile."""
    return ProfileModel(
        apiVersion=API_VERSION,
        kind="Profile",
        metadata=MetadataModel(name=service.name),
        spec=service.profile,
    )


def service_declaration(
    service: ServiceSpec, targets: list[TargetPlace]
) -> ServiceModel:
    """Return the declaration of the service with these targets."""
    return ServiceModel(
        apiVersion=API_VERSION,
        kind="Service",
        metadata=MetadataModel(name=service.name),
        spec=ServiceSpecModel(
            profile=service.name,
            keyed=service.keyed,
            slices=service.slices,
            groups=service.groups,
            checks_grants=service.checks_grants,
            targets=[_target_model(place) for place in targets],
        ),
    )


def cluster_declarations(
    services: tuple[ServiceSpec, ...], layout: ClusterLayout
) -> list[Declaration]:
    """Return all declarations of a cluster, profiles before services."""
    profiles = [profile_declaration(service) for service in services]
    declared = [
        service_declaration(service, layout.targets_of(service.name))
        for service in services
    ]
    return [*profiles, *declared]


def _target_model(place: TargetPlace) -> TargetModel:
    """Return the declaration of one target."""
    return TargetModel(
        id=place.id,
        address=place.address,
        zone=place.zone,
        slots=place.service.slots,
        connections=place.service.connections,
    )
