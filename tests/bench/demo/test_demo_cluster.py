"""Tests of the demonstration's cluster."""

from __future__ import annotations

from pathlib import Path

import pytest

from swiftpin.bench.cluster.cluster_declarations import cluster_declarations
from swiftpin.bench.cluster.cluster_layout import ClusterLayout
from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.demo.demo_cluster import demo_cluster
from swiftpin.bench.demo.scenes import BOOKING, LOOKUP
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.config.classify import request_class_of
from swiftpin.config.convert import profile_from_model
from swiftpin.config.models.declaration_models import ProfileModel

DECLARATIONS = Path(__file__).parents[3] / "examples" / "demo"


@pytest.fixture
def spec() -> ClusterSpec:
    """Return the cluster of the declarations in the repository."""
    return demo_cluster(DECLARATIONS)


def test_a_gateway_and_targets_in_each_zone(spec: ClusterSpec) -> None:
    """Three zones have a gateway each, and the desk has targets in all."""
    layout = ClusterLayout.allocate(spec, PortAllocator())
    zones = {place.zone for place in layout.gateways_by_name.values()}
    assert len(zones) == 3
    assert {place.zone for place in layout.targets_of("desk")} == zones


def test_one_service_has_keys_and_one_has_none(spec: ClusterSpec) -> None:
    """The desk is divided by key, the vault is not."""
    assert {item.name: item.keyed for item in spec.services} == {
        "desk": True,
        "vault": False,
    }


def test_bookings_must_not_repeat_and_lookups_may(spec: ClusterSpec) -> None:
    """The declared profile treats the demonstration's requests as it says."""
    layout = ClusterLayout.allocate(spec, PortAllocator())
    profile = next(
        profile_from_model(item)
        for item in cluster_declarations(spec.services, layout)
        if isinstance(item, ProfileModel) and item.metadata.name == "desk"
    )
    for request, repeatable in ((BOOKING, False), (LOOKUP, True)):
        path = request.path.removeprefix("desk")
        request_class = request_class_of(profile, request.method, path)
        assert request_class.repeatable is repeatable
