"""Detection of an instance whose configuration is out of date."""

from __future__ import annotations

import math
from typing import Final

from swiftpin.core import callback

MAX_NOTIFICATION_DELAY: Final = 1.0
"""Seconds until an instance learns of a new version from another one: the delay of that
instance's store watch plus a heartbeat."""


class ConfigurationLag:
    """Detects that an instance has lacked a newer configuration for too long.

    With the old one it would answer a final 404 for new routes, or send requests to
    targets that must no longer receive them.
    """

    def __init__(self) -> None:
        self.has_source = True
        """Whether the store or a reachable neighbour has the missing version."""

        self._max_lag = math.inf
        self._announced_at_by_version: dict[int, float] = {}
        """Time at which each version newer than the active one was first announced."""

    @callback
    def set_apply_limit(self, seconds: float) -> None:
        """Set the seconds within which an accepted configuration must be active."""
        self._max_lag = max(seconds - MAX_NOTIFICATION_DELAY, 0.0)

    @callback
    def record_announced(self, version: int, in_force: int, now: float) -> None:
        """Record the active version of another instance.

        `in_force` is the active version of this instance.
        """
        if version > in_force:
            self._announced_at_by_version.setdefault(version, now)

    @callback
    def record_adopted(self, version: int) -> None:
        """Record the version that this instance has activated."""
        for announced in [
            announced
            for announced in self._announced_at_by_version
            if announced <= version
        ]:
            del self._announced_at_by_version[announced]

    @callback
    def is_outdated(self, now: float) -> bool:
        """Return whether a newer configuration should already be active."""
        announced_at = min(self._announced_at_by_version.values(), default=math.inf)
        return now - announced_at > self._max_lag

    @callback
    def is_refusing(self, now: float) -> bool:
        """Return whether to refuse all requests until the newer configuration arrives.

        Without a source they are not refused: if the only instance that read it before
        a store outage is lost, all others would refuse until the outage is over.
        """
        return self.has_source and self.is_outdated(now)
