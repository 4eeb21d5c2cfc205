"""Decoding of the operators' configuration from its stored form."""

from __future__ import annotations

from collections.abc import Generator
import math
from typing import Any, Final

from swiftpin.exceptions import ConfigurationError
from swiftpin.helpers.json_fields import (
    FieldError,
    read_field,
    read_integer,
    read_list,
    read_mapping,
    read_number,
    read_string,
)
from swiftpin.model.caller_limits import CallerLimits
from swiftpin.model.configuration import Configuration
from swiftpin.model.request_kind import RequestKind
from swiftpin.model.route import Route, WeightedService
from swiftpin.model.service_spec import ServiceSpec
from swiftpin.platform.names import MILLISECONDS_PER_SECOND

KINDS_BY_NAME: Final = {
    "safe": RequestKind.IDEMPOTENT,
    "download": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
}
VERSION_PREFIX: Final = "r"
MAX_VERSION_DIGITS: Final = 18
"""Maximum digits of a version, which must fit into a protobuf `uint64`."""


def decode_configuration(
    document: object,
) -> Generator[None, None, Configuration]:
    """Decode a configuration, yielding after each route.

    Returns the configuration; raises `ConfigurationError` if it is malformed.
    """
    try:
        fields = read_mapping(document, "the configuration")
        services = read_list(read_field(fields, "services"), "services")
        specs = [
            _decode_service(read_mapping(entry, "a service")) for entry in services
        ]
        hosts = read_list(read_field(fields, "hosts"), "hosts")
        routes_by_host = yield from _decode_hosts(hosts)
        return Configuration(
            version=_read_version(read_field(fields, "version")),
            routes_by_host=routes_by_host,
            services_by_name={spec.name: spec for spec in specs},
            limits=_decode_limits(read_mapping(read_field(fields, "limits"), "limits")),
        )
    except FieldError as err:
        raise ConfigurationError(f"configuration: {err}") from err


def _read_version(value: object) -> int:
    """Return the number of a version, which is written with a prefix letter."""
    digits = read_string(value, "version").removeprefix(VERSION_PREFIX)
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_VERSION_DIGITS:
        raise FieldError(f"version {value!r} is not a number")
    return int(digits)


def _decode_hosts(
    hosts: list[Any],
) -> Generator[None, None, dict[str, tuple[Route, ...]]]:
    """Return the routes of each host, sorted by descending prefix length."""
    routes_by_host = {}
    for entry in hosts:
        fields = read_mapping(entry, "a host")
        name = read_string(read_field(fields, "host"), "host")
        paths = read_list(read_field(fields, "paths"), "paths")
        routes = []
        for path in paths:
            routes.append(_decode_route(name, read_mapping(path, "a route")))
            yield
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
        routes_by_host[name] = tuple(routes)
    return routes_by_host


def _decode_route(host: str, entry: dict[str, Any]) -> Route:
    """Return a route."""
    kind = read_string(read_field(entry, "kind"), "kind")
    return Route(
        name=read_string(read_field(entry, "name"), "name"),
        host=host,
        prefix=read_string(read_field(entry, "path_prefix"), "path_prefix"),
        # Requests of an unknown kind must not be retried.
        kind=KINDS_BY_NAME.get(kind, RequestKind.ONCE),
        timeout=_read_seconds(entry, "timeout_ms"),
        objective=_read_seconds(entry, "target_latency_ms"),
        priority=read_integer(entry.get("priority", 0), "priority"),
        max_attempts=read_integer(entry.get("attempts", 1), "attempts"),
        weighted_services=_decode_weighted_services(entry),
    )


def _decode_weighted_services(entry: dict[str, Any]) -> tuple[WeightedService, ...]:
    """Return the services among which a route's requests are split."""
    split = entry.get("traffic_split")
    if not split:
        service = read_string(read_field(entry, "service"), "service")
        return (WeightedService(service=service, weight=1.0),)
    parts = [read_mapping(part, "a part") for part in read_list(split, "traffic_split")]
    return tuple(
        WeightedService(
            service=read_string(read_field(part, "service"), "service"),
            weight=read_number(read_field(part, "weight"), "weight"),
        )
        for part in parts
    )


def _decode_service(entry: dict[str, Any]) -> ServiceSpec:
    """Return a service."""
    connections = read_field(entry, "max_connections")
    return ServiceSpec(
        name=read_string(read_field(entry, "name"), "name"),
        is_keyed=bool(entry.get("sharding", False)),
        health_path=read_string(read_field(entry, "health_path"), "health_path"),
        max_connections=read_integer(connections, "max_connections"),
        warmup=read_number(entry.get("warmup_s", 0.0), "warmup_s"),
        cold_start=read_number(entry.get("cold_start_s", 0.0), "cold_start_s"),
        cold_rate=_read_cold_rate(entry),
    )


def _read_cold_rate(entry: dict[str, Any]) -> float:
    """Return a cold target's rate in requests per second, infinite if undeclared."""
    rate = read_number(entry.get("cold_per_s", 0.0), "cold_per_s")
    return rate or math.inf


def _decode_limits(entry: dict[str, Any]) -> CallerLimits:
    """Return the limits on callers' requests."""
    return CallerLimits(
        header_bytes=read_integer(read_field(entry, "header_bytes"), "header_bytes"),
        body_bytes=read_integer(read_field(entry, "body_bytes"), "body_bytes"),
        header_timeout=_read_seconds(entry, "header_ms"),
        idle_timeout=_read_seconds(entry, "idle_ms"),
    )


def _read_seconds(entry: dict[str, Any], name: str) -> float:
    """Return a field in milliseconds as seconds."""
    return read_number(read_field(entry, name), name) / MILLISECONDS_PER_SECOND
