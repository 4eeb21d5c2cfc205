"""Tests of a cluster's addresses, command lines and declarations."""

from __future__ import annotations

from pathlib import Path

import pytest

from swiftpin.bench.cluster.cluster_commands import (
    gateway_process,
    instances_process,
    store_process,
    target_process,
)
from swiftpin.bench.cluster.cluster_declarations import cluster_declarations
from swiftpin.bench.cluster.cluster_layout import ClusterLayout
from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.declaration_writer import name_of
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.cluster.serving_check import check_keys
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.config.document import document_of
from swiftpin.config.parse import parse_document
from swiftpin.gateway.settings_loader import load_settings
from swiftpin.helpers.hashing import slice_of

DESK = ServiceSpec(name="desk", targets=4, groups=2)
VAULT = ServiceSpec(name="vault", keyed=False, targets=2, refuses_orders=False)
SPEC = ClusterSpec(services=(DESK, VAULT), gateways=4)


@pytest.fixture
def layout() -> ClusterLayout:
    """Return the cluster's layout."""
    return ClusterLayout.allocate(SPEC, PortAllocator())


def test_every_address_is_its_own(layout: ClusterLayout) -> None:
    """No two servers share a port."""
    addresses = [layout.store, layout.instances]
    addresses += [place.address for place in layout.targets_by_id.values()]
    for place in layout.gateways_by_name.values():
        addresses += [place.listen, place.peer, place.forward, place.admin]
    assert len(set(addresses)) == len(addresses) == 2 + 6 + 16


def test_zones_come_in_turn(layout: ClusterLayout) -> None:
    """Gateways and targets are spread over the zones."""
    zones = [place.zone for place in layout.gateways_by_name.values()]
    assert zones == ["az-a", "az-b", "az-c", "az-a"]


def test_gateway_takes_its_flags(layout: ClusterLayout, tmp_path: Path) -> None:
    """The gateway understands the command line that it is started with."""
    place = layout.gateways_by_name["gw-2"]
    process = gateway_process(SPEC, layout, place, tmp_path)
    settings = load_settings(list(process.arguments), {})
    assert (settings.name, settings.zone) == ("gw-2", "az-b")
    assert str(settings.listen) == place.listen
    assert settings.trace == tmp_path / "gw-2.trace"


def test_instance_list_names_every_gateway(layout: ClusterLayout) -> None:
    """The list starts with all gateways and their addresses."""
    arguments = instances_process(SPEC, layout).arguments
    place = layout.gateways_by_name["gw-1"]
    listed = f"gw-1,az-a,{place.peer},{place.forward},{place.admin}"
    assert f"--instance={listed}" in arguments
    assert len([item for item in arguments if item.startswith("--instance=")]) == 4


def test_stand_ins_get_what_the_service_says(
    layout: ClusterLayout, tmp_path: Path
) -> None:
    """Latencies and the lack of checks reach the stand-ins' command lines."""
    assert "--latency-ms=3" in store_process(SPEC, layout).arguments
    desk = target_process(SPEC, layout.targets_by_id["desk-1"], tmp_path)
    vault = target_process(SPEC, layout.targets_by_id["vault-1"], tmp_path)
    assert "--unchecked" not in desk.arguments
    assert "--unchecked" in vault.arguments


def test_declarations_are_sound(layout: ClusterLayout) -> None:
    """Profiles come first, and the parser takes every document."""
    declarations = cluster_declarations(SPEC.services, layout)
    assert [item.kind for item in declarations] == [
        "Profile",
        "Profile",
        "Service",
        "Service",
    ]
    for item in declarations:
        assert parse_document(name_of(item), document_of(item)) == item


def test_check_keys_reach_every_group() -> None:
    """Each group of a keyed service is asked several times, others once."""
    groups = {
        slice_of("desk", key, DESK.slices) % DESK.groups
        for key in check_keys(DESK)
        if key is not None
    }
    assert groups == {0, 1}
    assert check_keys(VAULT) == [None]
