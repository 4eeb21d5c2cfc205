"""Decoding of the platform's settings file."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import orjson

from swiftpin.exceptions import ConfigurationError
from swiftpin.helpers.address import parse_address
from swiftpin.model.bounds import Bounds
from swiftpin.model.instance_settings import InstanceSettings
from swiftpin.platform.names import (
    BYTES_PER_MEGABIT,
    BYTES_PER_MEGABYTE,
    CONTRACT_PRESSURE,
    MILLISECONDS_PER_SECOND,
)


def read_settings(path: str) -> InstanceSettings:
    """Read settings from a file; raise `ConfigurationError` if they are invalid."""
    try:
        return decode_settings(orjson.loads(Path(path).read_bytes()))
    except (OSError, ValueError, ConfigurationError) as err:
        raise ConfigurationError(f"settings file {path}: {err}") from err


def decode_settings(document: Any) -> InstanceSettings:  # noqa: ANN401  # any JSON
    """Decode a settings document; raise `ConfigurationError` if it is malformed."""
    try:
        return _decode_settings(document)
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
    ) as err:
        raise ConfigurationError(f"settings: {err!r}") from err


def _decode_settings(document: Any) -> InstanceSettings:  # noqa: ANN401  # any JSON
    """Decode a settings document."""
    instance = document["self"]
    network = document["network"]
    platform = document["platform"]
    listen = network["listen"]
    contracts = document["terms"].get("contracts") or ()
    # The first internal port is used for the links between instances, the second for
    # the requests that they pass on.
    peer_port = network["internal_ports"][0]
    relay_port = peer_port + 1
    seeds = tuple(
        f"{seed.rpartition(':')[0]}:{peer_port}" for seed in network.get("seeds") or ()
    )
    return InstanceSettings(
        name=instance["node"],
        zone=instance["zone"],
        caller_address=parse_address(listen["front"]),
        readiness_address=parse_address(listen["ready"]),
        peer_address=parse_address(f"{instance['ip']}:{peer_port}"),
        relay_address=parse_address(f"{instance['ip']}:{relay_port}"),
        seeds=seeds,
        store_address=parse_address(platform["platform"]["address"]),
        bounds=_decode_bounds(document["terms"]["bounds"]),
        target_heartbeat=platform["heartbeat_ms"] / MILLISECONDS_PER_SECOND,
        # `cores` is the speed of a core relative to the reference core; the process may
        # use only `cpu_share` of it.
        cpu_capacity=instance["limits"]["cpu_share"] * instance["limits"]["cores"],
        bandwidth=instance["limits"].get("link_mbps", 0.0) * BYTES_PER_MEGABIT,
        first_start=bool(instance["bootstrap"]),
        expects_overload=CONTRACT_PRESSURE in contracts,
        memory_limit=_limit(instance["limits"], "memory_mb") * BYTES_PER_MEGABYTE,
        max_descriptors=_limit(instance["limits"], "file_descriptors"),
    )


def _limit(limits: dict[str, Any], name: str) -> float:
    """Return a limit of the instance, infinite if none is set."""
    return float(limits.get(name) or math.inf)


def _decode_bounds(bounds: dict[str, Any]) -> Bounds:
    """Return the limits; the document gives most times in milliseconds."""
    return Bounds(
        drain_limit=bounds["drain_ms"] / MILLISECONDS_PER_SECOND,
        apply_limit=bounds["config_apply_ms"] / MILLISECONDS_PER_SECOND,
        shutdown_grace=float(bounds["grace_s"]),
        max_hold=bounds["hold_max_ms"] / MILLISECONDS_PER_SECOND,
        retry_ratio=float(bounds["budget_ratio"]),
        retry_window=float(bounds["budget_window_s"]),
        retry_slack=float(bounds["budget_slack"]),
        stability_period=bounds["stability_window_ms"] / MILLISECONDS_PER_SECOND,
        evacuation_limit=(
            bounds["evacuation_ms"] / MILLISECONDS_PER_SECOND
            if "evacuation_ms" in bounds
            else None
        ),
        cold_overshoot=float(bounds.get("cold_overshoot", 1.0)),
        cold_slack=float(bounds.get("cold_slack", 0.0)),
    )
