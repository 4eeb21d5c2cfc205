"""Exchange of confirmed drains of targets between instances."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from swiftpin.core import callback
from swiftpin.discovery.announced_drains import AnnouncedDrains
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb


class DrainReports:
    """Tells all linked instances which targets have announced that they are leaving.

    The lease holder then moves their keys, and issuers grant no more permits for them.
    Every instance has links to these. A drain that was reported is not passed on:
    who confirms it reports it, also to holders and issuers that come later.
    """

    def __init__(self, links: FleetLinks, drains: AnnouncedDrains) -> None:
        self.on_news: Callable[[], None] = _ignore
        """Called when another instance has confirmed a drain."""

        self._links = links
        self._drains = drains

    @callback
    def report(self, target_id: str) -> None:
        """Report a drain that this instance has confirmed."""
        item = _make_item([target_id])
        for link in (*self._links.outgoing_by_peer.values(), *self._links.incoming):
            link.send(item)

    @callback
    def send_all(self, link: PeerLink) -> None:
        """Send the known drains to an instance whose link was opened."""
        if self._drains.confirmed_ids:
            link.send(_make_item(sorted(self._drains.confirmed_ids)))

    @callback
    def handle(self, reports: pb.DrainReports) -> None:
        """Record the drains that another instance has confirmed."""
        news = [self._drains.record_report(target) for target in reports.targets]
        if any(news):
            self.on_news()


@callback
def _make_item(target_ids: Iterable[str]) -> pb.Item:
    """Return a message that reports drains."""
    return pb.Item(drain_reports=pb.DrainReports(targets=target_ids))


@callback
def _ignore() -> None:
    """Do nothing."""
