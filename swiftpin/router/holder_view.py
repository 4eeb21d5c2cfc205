"""Store health as reported by the lease holder and the neighbours."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks

HOLDER_CATCH_UP_TIME: Final = 2.0
"""Seconds for which the lease holder must have reported a reachable store before it
confirms anything. After an outage its lease renewal may succeed while its watch, which
takes up to 1.4 s, has not yet delivered the changes made during the outage."""


class HolderView:
    """Decides whether this instance would be notified of changes it has missed.

    Only the lease holder is trusted: its watches are short, so its information is
    recent. Two other instances whose watches both lost their connection would confirm
    each other's outdated state.
    """

    def __init__(self, links: FleetLinks) -> None:
        self.store_reports = 0
        """Number of times that neighbours lost the store or reached it again."""

        self._links = links
        self._lost_incarnations: set[str] = set()
        self._connected_holder = ""
        """Incarnation of the holder, if it is responsive and reaches the store."""

        self._connected_since = 0.0

    @callback
    def is_confirmed(self) -> bool:
        """Return whether the holder has reached the store long enough to be trusted."""
        now = asyncio.get_running_loop().time()
        link = self._holder_link(now)
        return (
            link is not None
            and link.incarnation == self._connected_holder
            and now - self._connected_since >= HOLDER_CATCH_UP_TIME
        )

    @callback
    def confirmed_version(self) -> int | None:
        """Return the holder's version of the targets, None if it is not confirmed."""
        link = self._holder_link(asyncio.get_running_loop().time())
        if link is None or not self.is_confirmed():
            return None
        heartbeat: Item = link.heartbeat
        return int(heartbeat.targets)

    @callback
    def update(self, now: float) -> None:
        """Update which holder reaches the store and which neighbours have lost it."""
        link = self._holder_link(now)
        holder = "" if link is None else link.incarnation
        if holder != self._connected_holder:
            self._connected_holder = holder
            self._connected_since = now
        lost = {
            link.incarnation
            for link in self._links.live_links()
            if link.heartbeat is not None and link.heartbeat.store_lost
        }
        if lost != self._lost_incarnations:
            self._lost_incarnations = lost
            self.store_reports += 1

    @callback
    def _holder_link(self, now: float) -> PeerLink | None:
        """Return a link to the holder, if it is responsive and reaches the store.

        An instance that froze while it was the holder may still claim the lease for a
        moment after it resumes; the one with the highest term is the holder.
        """
        links = [
            link
            for link in self._links.live_links()
            if link.heartbeat is not None
            and link.heartbeat.leads
            and not link.heartbeat.store_lost
            and link.is_responsive(now)
        ]
        return max(links, key=_term, default=None)


@callback
def _term(link: PeerLink) -> int:
    """Return the last term that a neighbour announced."""
    heartbeat: Item = link.heartbeat
    return int(heartbeat.term)
