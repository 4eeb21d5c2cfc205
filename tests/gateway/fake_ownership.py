"""Ownership whose answers a test chooses."""

from __future__ import annotations

from swiftpin.config.service import Service
from swiftpin.exceptions import NoOwnerError
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.route import Route


class FakeOwnership:
    """Gives the routes in `routes`, the last one for ever.

    `gaps` is the number of times to come that it knows no owner.
    """

    def __init__(self) -> None:
        self.routes: list[Route] = []
        self.holding = True
        self.gaps = 0

    def resolve(self, service: Service, key: str, now: float) -> Route:
        """Return the next route."""
        if self.gaps > 0 or not self.routes:
            self.gaps -= 1
            raise NoOwnerError("no route", retry_after=1)
        return self.routes.pop(0) if len(self.routes) > 1 else self.routes[0]

    def send_until(self, group: GroupId, now: float) -> float | None:
        """Return a time a little ahead while the lease is held."""
        return now + 1.0 if self.holding else None

    def record_work(self, route: Route, key: str, busy: float, now: float) -> None:
        """Ignore the work."""

    def held_groups(self) -> list[GroupHeartbeat]:
        """Return one group while the lease is held."""
        if not self.holding or not self.routes:
            return []
        route = self.routes[0]
        return [GroupHeartbeat(group=route.group, term=route.term, revision=1)]
