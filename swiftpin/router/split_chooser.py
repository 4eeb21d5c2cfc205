"""Traffic split between the services of a route."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.model.route import Route


class SplitChooser:
    """Distributes requests among a route's services by smooth weighted round-robin.

    Unlike a random choice this keeps the shares exact over short times too. A request
    for which the chosen service has no free slot is refused, never sent to another.
    """

    def __init__(self) -> None:
        self._credits_by_route: dict[tuple[str, str], dict[str, float]] = {}

    @callback
    def choose(self, route: Route) -> str:
        """Return the service for a route's next request."""
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
        """Forget the credits, as after a change of the configuration."""
        self._credits_by_route.clear()
