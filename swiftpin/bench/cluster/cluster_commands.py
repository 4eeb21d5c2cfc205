"""Command lines of a cluster's processes."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from swiftpin.bench.cluster.cluster_layout import ClusterLayout
from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.gateway_place import GatewayPlace
from swiftpin.bench.cluster.target_place import TargetPlace
from swiftpin.bench.processes.process_spec import ProcessSpec
from swiftpin.standins.http_standin import PATH_COUNTERS

MODULE_STANDINS: Final = "swiftpin.standins"
MODULE_GATEWAY: Final = "swiftpin.gateway"
NAME_STORE: Final = "store"
NAME_INSTANCES: Final = "instances"


def trace_path(directory: Path, name: str) -> Path:
    """Return where a process writes its trace."""
    return directory / f"{name}.trace"


def store_process(spec: ClusterSpec, layout: ClusterLayout) -> ProcessSpec:
    """Return the command of the store."""
    return ProcessSpec(
        name=NAME_STORE,
        module=MODULE_STANDINS,
        arguments=(
            "store",
            f"--listen={layout.store}",
            f"--latency-ms={spec.store_latency_ms:g}",
            f"--seed={spec.seed}",
        ),
        ready_url=f"{layout.store_url}{PATH_COUNTERS}",
    )


def instances_process(spec: ClusterSpec, layout: ClusterLayout) -> ProcessSpec:
    """Return the command of the instance list."""
    listed = [
        f"--instance={place.name},{place.zone},{place.peer},{place.forward},{place.admin}"
        for place in layout.gateways_by_name.values()
    ]
    return ProcessSpec(
        name=NAME_INSTANCES,
        module=MODULE_STANDINS,
        arguments=(
            "instances",
            f"--listen={layout.instances}",
            f"--lag-ms={spec.instances_lag_ms:g}",
            *listed,
        ),
        ready_url=f"{layout.instances_url}{PATH_COUNTERS}",
    )


def target_process(
    spec: ClusterSpec, place: TargetPlace, directory: Path
) -> ProcessSpec:
    """Return the command of one target."""
    service = place.service
    unchecked = () if service.refuses_orders else ("--unchecked",)
    trace = (f"--trace={trace_path(directory, place.id)}",) if spec.traced else ()
    return ProcessSpec(
        name=place.id,
        module=MODULE_STANDINS,
        arguments=(
            "target",
            f"--listen={place.address}",
            f"--name={place.id}",
            f"--zone={place.zone}",
            f"--slots={service.slots}",
            f"--connections={service.connections}",
            f"--work-ms={service.work_ms:g}",
            f"--cold-ms={service.cold_ms:g}",
            f"--load-lag-ms={service.load_lag_ms:g}",
            *unchecked,
            *trace,
        ),
        ready_url=f"http://{place.address}{PATH_COUNTERS}",
    )


def gateway_process(
    spec: ClusterSpec, layout: ClusterLayout, place: GatewayPlace, directory: Path
) -> ProcessSpec:
    """Return the command of one gateway."""
    trace = (f"--trace={trace_path(directory, place.name)}",) if spec.traced else ()
    return ProcessSpec(
        name=place.name,
        module=MODULE_GATEWAY,
        arguments=(
            f"--name={place.name}",
            f"--zone={place.zone}",
            f"--listen={place.listen}",
            f"--peer-listen={place.peer}",
            f"--forward-listen={place.forward}",
            f"--admin-listen={place.admin}",
            f"--store-url={layout.store_url}",
            f"--instances-url={layout.instances_url}",
            f"--log-level={spec.log_level}",
            f"--log-sample={spec.log_sample:g}",
            *trace,
            *spec.gateway_arguments,
        ),
        ready_url=f"http://{place.admin}/readyz",
    )
