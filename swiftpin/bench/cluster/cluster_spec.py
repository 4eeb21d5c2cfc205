"""What a cluster on loopback consists of."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.cluster.service_spec import ServiceSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class ClusterSpec:
    """Gateways and targets are spread over the zones in turn.

    `store_latency_ms` delays each store call, `instances_lag_ms` changes of the
    instance list. `log_sample` is the share of requests that gateways log.
    `gateway_arguments` are added to every gateway's command line. Traced processes
    write traces beside their logs.
    """

    services: tuple[ServiceSpec, ...]
    gateways: int = 3
    zones: tuple[str, ...] = ("az-a", "az-b", "az-c")
    store_latency_ms: float = 3.0
    instances_lag_ms: float = 2000.0
    log_level: str = "info"
    log_sample: float = 1.0
    gateway_arguments: tuple[str, ...] = ()
    traced: bool = True
    seed: int = 1
