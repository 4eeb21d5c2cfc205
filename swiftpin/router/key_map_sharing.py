"""Key maps on their way between instances."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.router.fleet_messages import (
    decode_owner_changes,
    encode_key_map,
    encode_key_map_change,
)
from swiftpin.router.key_maps import KeyMaps


class KeyMapSharing:
    """Hands maps out whole or as changes, and asks for what was missed."""

    def __init__(
        self,
        links: FleetLinks,
        maps: KeyMaps,
        request_all: Callable[[PeerLink], None],
    ) -> None:
        self._links = links
        self._maps = maps
        self._request_all = request_all
        """Called with the neighbour that sent a change of a map that is not known."""

    @callback
    def publish(self, key_map: KeyMap) -> None:
        """Give a new map to everyone, as far as it differs from the last one.

        The whole map of 200 targets takes 10 KB, and each move changes it twice.
        """
        before = self._maps.maps_by_service.get(key_map.service)
        self._maps.adopt(key_map)
        if before is not None and _is_successor(key_map, before):
            change = encode_key_map_change(key_map, key_map.changes_since(before))
            for link in self._links.incoming:
                link.send_after_documents(change)
            return
        for link in self._links.incoming:
            link.send_document(partial(self._encode, key_map.service))

    @callback
    def send_all(self, link: PeerLink) -> None:
        """Give all maps whole."""
        for service in self._maps.maps_by_service:
            link.send_document(partial(self._encode, service))

    @callback
    def _encode(self, service: str) -> Item:
        """Return the present map of a service."""
        return encode_key_map(self._maps.maps_by_service[service])

    @callback
    def handle_change(self, link: PeerLink, change: pb.KeyMapChange) -> None:
        """Take what changed of a map; ask for the whole when one was missed."""
        known = self._maps.maps_by_service.get(change.service)
        changed = (change.term, change.number)
        if known is not None and changed == (known.term, known.number + 1):
            self._maps.adopt(known.with_changes(decode_owner_changes(change)))
            return
        if known is None or (known.term, known.number) < changed:
            self._request_all(link)


@callback
def _is_successor(key_map: KeyMap, previous: KeyMap) -> bool:
    """Return whether a map is the next one after another."""
    return (key_map.term, key_map.number) == (previous.term, previous.number + 1)
