"""Fake peer links that record the messages sent over them."""

from __future__ import annotations

from typing import cast

from swiftpin.fleet.document_channel import DocumentFactory
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import LinkHandler, PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb


class FakeLink(PeerLink):
    """A link to a named instance; `sent` holds the messages sent over it."""

    def __init__(
        self, name: str, *, is_outgoing: bool = False, **heartbeat: object
    ) -> None:
        super().__init__(cast(LinkHandler, None), 0.0, is_outgoing=is_outgoing)
        self.incarnation = f"{name}/1"
        self.peer = f"{name}:1"
        self.heartbeat = pb.Heartbeat(**heartbeat)
        self.sent: list[Item] = []

    def send(self, item: Item) -> None:
        """Record a message."""
        self.sent.append(item)

    def send_document(self, make: DocumentFactory) -> None:
        """Record a document if there is one to send."""
        item = make()
        if item is not None:
            self.sent.append(item)


class FakeLinks:
    """The links of an instance, all of them alive."""

    def __init__(self, *links: FakeLink) -> None:
        self.incoming = {link for link in links if not link.is_outgoing}
        self.outgoing_by_peer = {link.peer: link for link in links if link.is_outgoing}

    def live_links(self) -> list[FakeLink]:
        """Return all links."""
        return [*self.outgoing_by_peer.values(), *self.incoming]


def make_links(*links: FakeLink) -> FleetLinks:
    """Return the links of an instance."""
    return cast(FleetLinks, FakeLinks(*links))
