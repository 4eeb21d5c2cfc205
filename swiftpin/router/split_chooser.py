"""Choice between the services that share a route's requests."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.model.route import Route


class SplitChooser:
    """Deals requests out by weight.

    In turn rather than by chance, so that the shares are right over short times too;
    what a service has no room for is refused, never moved to another.
    """

    def __init__(self) -> None:
        self._credits_by_route: dict[tuple[str, str], dict[str, float]] = {}

    @callback
    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credits = self._credits_by_route.setdefault((route.host, route.prefix), {})
        total = sum(part.weight for part in route.weighted_services)
        for part in route.weighted_services:
            credits[part.service] = credits.get(part.service, 0.0) + part.weight / total
        chosen = max(
            route.weighted_services, key=lambda part: credits[part.service]
        ).service
        credits[chosen] -= 1.0
        return chosen

    @callback
    def reset(self) -> None:
        """Begin anew after a change of the configuration."""
        self._credits_by_route.clear()
