"""The few instances that one instance exchanges news with at present."""

from __future__ import annotations

from random import Random
from typing import Final

from swiftpin.core import callback
from swiftpin.membership.directory import InstanceDirectory
from swiftpin.membership.instance_info import InstanceInfo

DEFAULT_SIZE: Final = 24
DEFAULT_RENEWAL: Final = 10.0


class PeerView:
    """A changing choice of other listed instances.

    News goes to peers of the view only, so that connections are used again: chosen
    from a whole large fleet, nearly each message would need a new one. One member
    is replaced every `renewal` seconds, so that in time each instance meets all.
    """

    def __init__(
        self,
        *,
        name: str,
        directory: InstanceDirectory,
        random: Random,
        size: int = DEFAULT_SIZE,
        renewal: float = DEFAULT_RENEWAL,
    ) -> None:
        self._name = name
        self._directory = directory
        self._random = random
        self._size = size
        self._renewal = renewal
        self._members: list[str] = []
        self._renewed_at: float | None = None

    @callback
    def infos_by_name(self, now: float) -> dict[str, InstanceInfo]:
        """Return the members, listed ones only, at the monotonic time in seconds."""
        listed = self._directory.instances_by_name
        self._members = [name for name in self._members if name in listed]
        self._drop_oldest(now, len(listed))
        if len(self._members) < min(self._size, len(listed) - 1):
            self._fill(listed)
        return {name: listed[name] for name in self._members}

    def _drop_oldest(self, now: float, listed: int) -> None:
        """Make room for another member when it is time."""
        if self._renewed_at is None:
            self._renewed_at = now
        if now - self._renewed_at < self._renewal or listed - 1 <= self._size:
            return
        self._renewed_at = now
        del self._members[:1]

    def _fill(self, listed: dict[str, InstanceInfo]) -> None:
        """Add members chosen by chance until the view is full."""
        excluded = {self._name, *self._members}
        others = [name for name in listed if name not in excluded]
        missing = min(self._size - len(self._members), len(others))
        self._members += self._random.sample(others, missing)
