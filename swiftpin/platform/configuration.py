"""The operators' configuration as it lies in the store."""

from __future__ import annotations

from typing import Any, Final

from swiftpin.exceptions import ConfigurationError
from swiftpin.model.caller_limits import CallerLimits
from swiftpin.model.configuration import Configuration
from swiftpin.model.request_kind import RequestKind
from swiftpin.model.route import Route, WeightedService
from swiftpin.model.service_spec import ServiceSpec
from swiftpin.platform.names import MILLISECONDS

KINDS_BY_WORD: Final = {
    "safe": RequestKind.IDEMPOTENT,
    "download": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
}
VERSION_PREFIX: Final = "r"


def decode_configuration(document: dict[str, Any]) -> Configuration:
    """Return the configuration; raise `ConfigurationError` when it is malformed."""
    try:
        return Configuration(
            version=int(str(document["version"]).removeprefix(VERSION_PREFIX)),
            routes_by_host=_decode_hosts(document["hosts"]),
            services_by_name={
                entry["name"]: _decode_service(entry) for entry in document["services"]
            },
            limits=_decode_limits(document["limits"]),
        )
    except (KeyError, TypeError, ValueError) as err:
        raise ConfigurationError(f"configuration: {err!r}") from err


def _decode_hosts(hosts: list[dict[str, Any]]) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host, longest prefix first."""
    routes_by_host = {}
    for entry in hosts:
        name = entry["host"]
        routes = [_decode_route(name, path) for path in entry["paths"]]
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
        routes_by_host[name] = tuple(routes)
    return routes_by_host


def _decode_route(host: str, entry: dict[str, Any]) -> Route:
    """Return one route."""
    split = entry.get("traffic_split")
    if split:
        parts = tuple(
            WeightedService(service=part["service"], weight=float(part["weight"]))
            for part in split
        )
    else:
        parts = (WeightedService(service=entry["service"], weight=1.0),)
    return Route(
        name=entry["name"],
        host=host,
        prefix=entry["path_prefix"],
        # What is not known to be repeatable must not be repeated.
        kind=KINDS_BY_WORD.get(entry["kind"], RequestKind.ONCE),
        timeout=entry["timeout_ms"] / MILLISECONDS,
        objective=entry["target_latency_ms"] / MILLISECONDS,
        priority=int(entry.get("priority", 0)),
        attempts=int(entry.get("attempts", 1)),
        parts=parts,
    )


def _decode_service(entry: dict[str, Any]) -> ServiceSpec:
    """Return one service."""
    return ServiceSpec(
        name=entry["name"],
        is_keyed=bool(entry.get("sharding", False)),
        health_path=entry["health_path"],
        max_connections=int(entry["max_connections"]),
        warmup=float(entry.get("warmup_s", 0.0)),
    )


def _decode_limits(entry: dict[str, Any]) -> CallerLimits:
    """Return the limits for callers."""
    return CallerLimits(
        header_bytes=int(entry["header_bytes"]),
        body_bytes=int(entry["body_bytes"]),
        header_time=entry["header_ms"] / MILLISECONDS,
        idle_time=entry["idle_ms"] / MILLISECONDS,
    )
