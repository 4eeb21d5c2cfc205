"""What the heartbeats of other instances say of their capacity."""

from __future__ import annotations

from swiftpin.capacity.readiness_gate import FleetView
from swiftpin.core import callback
from swiftpin.fleet.links import FleetLinks
from swiftpin.permits.permit_broker import PermitBroker


class OverloadView:
    """Reads the other instances' overload from the links to them."""

    def __init__(self, links: FleetLinks, permits: PermitBroker) -> None:
        self._links = links
        self._permits = permits

    @callback
    def view(self) -> FleetView:
        """Return the present view; an instance without a heartbeat isn't overloaded."""
        known = set()
        overloaded = set()
        for link in self._links.live_links():
            known.add(link.incarnation)
            if link.heartbeat is not None and link.heartbeat.overloaded:
                overloaded.add(link.incarnation)
        return FleetView(
            overloaded=frozenset(overloaded),
            known=len(known),
            members=self._permits.issuers.members,
        )
