"""What the gateway needs of the ownership of keys."""

from __future__ import annotations

from typing import Protocol

from swiftpin.config.service import Service
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.route import Route


class Ownership(Protocol):
    """Who owns a key, and whether this instance may send to the owner."""

    def resolve(self, service: Service, key: str, now: float) -> Route:
        """Return where the key's requests go; raise `NoOwnerError` if nowhere."""

    def send_until(self, group: GroupId, now: float) -> float | None:
        """Return the time until which this instance, as holder, may send.

        None when it may not. Ask again right before each send: the process may have
        been paused since the last time.
        """

    def record_work(self, route: Route, key: str, busy: float, now: float) -> None:
        """Count a request that kept a slot of its target busy for `busy` seconds."""

    def held_groups(self) -> list[GroupHeartbeat]:
        """Return the groups whose lease this instance holds."""
