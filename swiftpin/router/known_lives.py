"""What an instance knows about the lives of targets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.relays.target_links import TargetLinks

MISSED_HEARTBEATS: Final = 3
"""Heartbeats without which the store removes the entry of a target."""

REMOVAL_MARGIN: Final = 1.5
"""Seconds from the removal of an entry until every instance has heard of it."""


class KnownLives:
    """Tells whether targets have ended.

    The entry of a target that ends outlives it by some heartbeats, and what answers at
    its address may be its next life. So a life is known to go on if something answers
    there after a time and the entry of that life is still in the store some heartbeats
    later.
    """

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        health: StoreHealth,
        links: TargetLinks,
        request_probe: Callable[[str], None],
        heartbeat: float,
    ) -> None:
        self._directory = directory
        self._health = health
        self._links = links
        self._request_probe = request_probe
        """Lets the link to a target be probed soon."""

        self._entry_lifetime = MISSED_HEARTBEATS * heartbeat + REMOVAL_MARGIN

    @callback
    def has_ended(self, target: str, now: float) -> bool:
        """Return whether a life has ended.

        The store may be away or keep the entry. A target that this instance has not
        reached for as long as an entry lasts has ended too, unless its links to other
        targets are lost as well or other instances reach it.
        """
        if self._directory.has_ended(target):
            return True
        return self._links.lost_for(
            target, now
        ) > self._entry_lifetime and not self._links.may_be_own_fault(target, now)

    @callback
    def has_outlived(self, target: str, at: float, now: float) -> bool:
        """Return whether a life is known to have gone on after a time.

        While the store is away, and right after it, entries tell nothing.
        """
        confirmed_at = now - self._directory.data_age(now)
        if (
            confirmed_at < at + self._entry_lifetime
            or not self._directory.is_listed(target)
            or self._health.is_settling(now, self._entry_lifetime)
        ):
            return False
        if self._links.has_worked_since(target, at):
            return True
        self._request_probe(target)
        return False
