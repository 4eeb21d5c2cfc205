"""For how long newer configurations than the one in force are known to exist."""

from __future__ import annotations

import math
from typing import Final

from swiftpin.core import callback

MAX_NOTIFICATION_DELAY: Final = 1.0
"""Seconds by which an instance may be told late of a new version: the watch of whoever
tells it, and a heartbeat."""


class ConfigurationLag:
    """Tells when an instance is behind for too long to answer by what it knows.

    It would refuse requests whose routes are there by now, for good, or send them to
    targets that must not get them any more.
    """

    def __init__(self) -> None:
        self.has_source = True
        """Whether the store or a neighbour that is heard has what is missing."""

        self._limit = math.inf
        self._announced_at_by_version: dict[int, float] = {}
        """When others first told of each version above the one in force."""

    @callback
    def set_apply_bound(self, seconds: float) -> None:
        """Set how long an accepted configuration may take to be in force."""
        self._limit = max(seconds - MAX_NOTIFICATION_DELAY, 0.0)

    @callback
    def record_announced(self, version: int, in_force: int, now: float) -> None:
        """Note that another instance has a version in force."""
        if version > in_force:
            self._announced_at_by_version.setdefault(version, now)

    @callback
    def record_adopted(self, version: int) -> None:
        """Note which version is in force."""
        for announced in [
            announced
            for announced in self._announced_at_by_version
            if announced <= version
        ]:
            del self._announced_at_by_version[announced]

    @callback
    def is_outdated(self, now: float) -> bool:
        """Return whether a newer configuration should be in force by now."""
        announced_at = min(self._announced_at_by_version.values(), default=math.inf)
        return now - announced_at > self._limit

    @callback
    def is_refusing(self, now: float) -> bool:
        """Return whether all requests are to be refused until the newer one is there.

        When nobody is left who has it, as after the loss of the only instance that read
        it before the store went away, all would refuse until the store is back.
        """
        return self.has_source and self.is_outdated(now)
