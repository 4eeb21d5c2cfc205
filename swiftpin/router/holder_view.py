"""What the lease's holder and the neighbours say of the store."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks

HOLDER_CATCH_UP_TIME: Final = 2.0
"""Seconds for which the lease's holder must have said that it hears the store until its
word confirms anything: its lease may be answered while its watch, which waits 1.4 s at
most, has still to bring what happened in an outage."""


class HolderView:
    """Tells whether an instance that falls behind the store would be told.

    The holder of the lease alone is relied on: its own watches are short, so what it
    knows is new. Two others whose watches have both fallen silent would confirm each
    other.
    """

    def __init__(self, links: FleetLinks) -> None:
        self.store_reports = 0
        """How often a neighbour lost the store, or got it back."""

        self._links = links
        self._lost_incarnations: set[str] = set()
        self._connected_holder = ""
        """Incarnation of the holder, if it is heard and hears the store."""

        self._connected_since = 0.0

    @callback
    def is_confirmed(self) -> bool:
        """Return whether the holder would tell of a change."""
        now = asyncio.get_running_loop().time()
        link = self._holder_link(now)
        return (
            link is not None
            and link.incarnation == self._connected_holder
            and now - self._connected_since >= HOLDER_CATCH_UP_TIME
        )

    @callback
    def confirmed_version(self) -> int | None:
        """Return the version of the targets that the holder knows, if it is new."""
        link = self._holder_link(asyncio.get_running_loop().time())
        if link is None or not self.is_confirmed():
            return None
        heartbeat: Item = link.heartbeat
        return int(heartbeat.targets)

    @callback
    def update(self, now: float) -> None:
        """Note since when the holder hears the store, and who lost it."""
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
        """Return a link to the holder, if it is heard and hears the store.

        An instance that froze as the holder may still say so for a moment when it
        wakes up; whoever has the higher term is the holder.
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
    """Return the term that a neighbour told last."""
    heartbeat: Item = link.heartbeat
    return int(heartbeat.term)
