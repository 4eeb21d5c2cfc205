"""Distribution of key maps between instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping
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
    """Publishes key maps, complete or as changes, and requests missed ones."""

    def __init__(
        self,
        links: FleetLinks,
        maps: KeyMaps,
        request_all: Callable[[PeerLink], None],
    ) -> None:
        self._links = links
        self._maps = maps
        self._request_all = request_all
        """Called with a neighbour whose change does not follow the known map."""

    @callback
    def publish(self, key_map: KeyMap) -> None:
        """Send a new map to all instances, as a change if it follows the previous map.

        The complete map of 200 targets takes 10 KB, and each move changes it twice. A
        map with other speeds of targets is sent complete.
        """
        previous = self._maps.maps_by_service.get(key_map.service)
        self._maps.adopt(key_map)
        if (
            previous is not None
            and _is_successor(key_map, previous)
            and key_map.factors_by_target == previous.factors_by_target
        ):
            change = encode_key_map_change(key_map, key_map.changes_since(previous))
            for link in self._links.incoming:
                link.send_after_documents(change)
            return
        for link in self._links.incoming:
            link.send_document(partial(self._encode, key_map.service))

    @callback
    def known_map(self, service: str) -> KeyMap | None:
        """Return the last key map of a service that an assigner published."""
        return self._maps.maps_by_service.get(service)

    @callback
    def known_factors(self, service: str) -> Mapping[str, float]:
        """Return the factors of the targets that the last assigner published."""
        key_map = self._maps.maps_by_service.get(service)
        return {} if key_map is None else key_map.factors_by_target

    @callback
    def send_all(self, link: PeerLink) -> None:
        """Send all maps in complete form over a link."""
        for service in self._maps.maps_by_service:
            link.send_document(partial(self._encode, service))

    @callback
    def _encode(self, service: str) -> Item:
        """Return the current map of a service as a message."""
        return encode_key_map(self._maps.maps_by_service[service])

    @callback
    def handle_change(self, link: PeerLink, change: pb.KeyMapChange) -> None:
        """Apply a change to its map; request all maps if an earlier one was missed."""
        known = self._maps.maps_by_service.get(change.service)
        changed = (change.term, change.number)
        if known is not None and changed == (known.term, known.number + 1):
            self._maps.adopt(known.with_changes(decode_owner_changes(change)))
            return
        if known is None or (known.term, known.number) < changed:
            self._request_all(link)


@callback
def _is_successor(key_map: KeyMap, previous: KeyMap) -> bool:
    """Return whether a map directly follows the previous one."""
    return (key_map.term, key_map.number) == (previous.term, previous.number + 1)
