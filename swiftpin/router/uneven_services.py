"""Services whose keys may be in uneven demand."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.model.configuration import Configuration
from swiftpin.model.request_kind import RequestKind

DEFAULT_OBJECTIVE: Final = 1.0
"""Objective in seconds of a service to which no route leads."""


@callback
def find_uneven_services(
    configuration: Configuration, *, expects_overload: bool
) -> frozenset[str]:
    """Return the keyed services for which uneven demand on keys is handled.

    These are the services to which only routes of idempotent kinds lead, since a move
    of keys then costs no request that must not be repeated, or all keyed services of a
    deployment that expects overload.
    """
    routed: set[str] = set()
    non_idempotent: set[str] = set()
    for routes in configuration.routes_by_host.values():
        for route in routes:
            services = {weighted.service for weighted in route.weighted_services}
            routed |= services
            if route.kind is not RequestKind.IDEMPOTENT:
                non_idempotent |= services
    return frozenset(
        service.name
        for service in configuration.services_by_name.values()
        if service.is_keyed
        and (expects_overload or service.name in routed - non_idempotent)
    )


@callback
def find_objective(configuration: Configuration, service: str) -> float:
    """Return the shortest objective of the routes to a service, in seconds."""
    return min(
        (
            route.objective
            for routes in configuration.routes_by_host.values()
            for route in routes
            if any(it.service == service for it in route.weighted_services)
        ),
        default=DEFAULT_OBJECTIVE,
    )
