"""A configuration of the router."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from swiftpin.model.caller_limits import CallerLimits
from swiftpin.model.route import Route
from swiftpin.model.route_table import RouteTable
from swiftpin.model.service_spec import ServiceSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the hosts, routes, services and limits that operators declare."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    """Routes of each host, sorted by descending prefix length."""

    services_by_name: Mapping[str, ServiceSpec]
    limits: CallerLimits
    route_tables_by_host: Mapping[str, RouteTable] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        tables = {
            host: RouteTable.of(routes) for host, routes in self.routes_by_host.items()
        }
        object.__setattr__(self, "route_tables_by_host", tables)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path."""
        table = self.route_tables_by_host.get(host)
        return None if table is None else table.find(path)

    @property
    def max_route_timeout(self) -> float:
        """Return the largest request timeout of all routes, in seconds."""
        return max(
            (
                route.timeout
                for routes in self.routes_by_host.values()
                for route in routes
            ),
            default=0.0,
        )
