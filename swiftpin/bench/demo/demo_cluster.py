"""The cluster of the demonstration."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.config.load import load_declarations
from swiftpin.config.models.declaration_models import ProfileModel, ServiceModel

GATEWAYS: Final = 3


def demo_cluster(declarations: Path) -> ClusterSpec:
    """Return a cluster of the declared services, a gateway in each zone.

    The targets get free ports instead of the declared addresses.
    """
    models = [item.model for item in load_declarations([declarations])]
    profiles_by_name = {
        model.metadata.name: model
        for model in models
        if isinstance(model, ProfileModel)
    }
    services = [model for model in models if isinstance(model, ServiceModel)]
    zones = sorted({item.zone for model in services for item in model.spec.targets})
    return ClusterSpec(
        services=tuple(
            _service(model, profiles_by_name[model.spec.profile]) for model in services
        ),
        gateways=GATEWAYS,
        zones=tuple(zones),
        instances_lag_ms=1000.0,
    )


def _service(model: ServiceModel, profile: ProfileModel) -> ServiceSpec:
    """Return the service with as many targets as declared."""
    spec = model.spec
    return ServiceSpec(
        name=model.metadata.name,
        keyed=spec.keyed,
        targets=len(spec.targets),
        groups=spec.groups,
        slices=spec.slices,
        checks_grants=spec.checks_grants,
        refuses_orders=spec.checks_grants,
        profile=profile.spec,
    )
