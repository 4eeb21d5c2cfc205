"""Choice of the instance that passes a request on."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable
from itertools import count
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.relays.relay import Relay
from swiftpin.relays.relay_terms import RelayResult

MAX_REQUESTS_PER_RELAY: Final = 24
"""Maximum requests of this instance at one relay at a time."""

OTHER_ZONE_FACTOR: Final = 2.0
"""Factor by which a relay of another zone must have fewer of this instance's requests
to be preferred."""

NO_LINK_PAUSE: Final = 1.0
"""Seconds for which a relay is not asked again for a target that it did not reach."""

BUSY_PAUSE: Final = 0.5
"""Seconds for which a relay without room, or one that can't be reached, is left out."""

MAX_RELAYS_WITHOUT_LINK: Final = 2
"""Number of relays that must fail to reach a target for it to count as unreachable.
Requests for targets that are down would otherwise visit one relay after the other."""


class RelayChoice:
    """Spreads requests over the relays, those of the own zone first.

    Times are suspend-aware.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._relays: tuple[Relay, ...] = ()
        self._requests_by_address: Counter[str] = Counter()
        self._use_numbers = count(1)
        self._last_use_by_address: dict[str, int] = {}
        self._avoided_until_by_address: dict[str, float] = {}
        self._no_link_until: dict[tuple[str, str], float] = {}
        """End of the pause by target and address of the relay."""

    @callback
    def set_relays(self, relays: Iterable[Relay]) -> None:
        """Replace the known relays."""
        self._relays = tuple(relays)
        addresses = {relay.address for relay in self._relays}
        for address in self._last_use_by_address.keys() - addresses:
            del self._last_use_by_address[address]

    @property
    def has_relays(self) -> bool:
        """Return whether any relay is known."""
        return bool(self._relays)

    @callback
    def choose(self, target: str, tried: Collection[str], now: float) -> Relay | None:
        """Return the relay for a request, None if the target can't be reached so."""
        if self.is_unreachable(target, now):
            return None
        candidates = [
            relay
            for relay in self._relays
            if relay.address not in tried
            and now >= self._avoided_until_by_address.get(relay.address, -math.inf)
            and now >= self._no_link_until.get((target, relay.address), -math.inf)
            and self._requests_by_address[relay.address] < MAX_REQUESTS_PER_RELAY
        ]
        return min(candidates, key=self._rank, default=None)

    @callback
    def is_unreachable(self, target: str, now: float) -> bool:
        """Return whether several relays have recently failed to reach a target."""
        relays_without_link = sum(
            name == target and now < until
            for (name, _), until in self._no_link_until.items()
        )
        return relays_without_link >= MAX_RELAYS_WITHOUT_LINK

    @callback
    def begin(self, relay: Relay) -> None:
        """Count a request that goes to a relay."""
        self._requests_by_address[relay.address] += 1
        self._last_use_by_address[relay.address] = next(self._use_numbers)

    @callback
    def end(self, relay: Relay) -> None:
        """Count a request that has left a relay."""
        self._requests_by_address[relay.address] -= 1
        if not self._requests_by_address[relay.address]:
            del self._requests_by_address[relay.address]

    @callback
    def record_refusal(
        self, relay: Relay, target: str, result: RelayResult, now: float
    ) -> None:
        """Note that a relay did not send a request."""
        match result:
            case RelayResult.NO_LINK:
                self._drop_ended_pauses(now)
                self._no_link_until[target, relay.address] = now + NO_LINK_PAUSE
            case RelayResult.BUSY:
                self._avoided_until_by_address[relay.address] = now + BUSY_PAUSE

    @callback
    def _rank(self, relay: Relay) -> tuple[float, int]:
        """Return the sort key of a relay: few requests first, then in turn."""
        requests = self._requests_by_address[relay.address] + 1
        distance = 1.0 if relay.zone == self._zone else OTHER_ZONE_FACTOR
        last_use = self._last_use_by_address.get(relay.address, 0)
        return (requests * distance, last_use)

    @callback
    def _drop_ended_pauses(self, now: float) -> None:
        """Drop pauses that have ended."""
        self._no_link_until = {
            pair: until for pair, until in self._no_link_until.items() if now < until
        }
