"""Expected sizes of the answers of each route."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.capacity.buffer_sizes import MAX_ANSWER
from swiftpin.core import callback

PERIOD: Final = 30.0
"""Seconds after which an answer's size no longer counts, at most twice as long."""

MARGIN: Final = 2
"""Factor by which an answer may exceed those before it."""


@dataclass(slots=True)
class RouteSize:
    """Largest answers of a route in this period and in the one before."""

    since: float
    buffered: int = 0
    transmitted: int = 0
    earlier_buffered: int = 0
    earlier_transmitted: int = 0

    @callback
    def start_period(self, now: float) -> None:
        """Keep the sizes of the period that ends now."""
        is_recent = now - self.since < 2 * PERIOD
        self.earlier_buffered = self.buffered if is_recent else 0
        self.earlier_transmitted = self.transmitted if is_recent else 0
        self.buffered = self.transmitted = 0
        self.since = now


class RouteSizes:
    """Largest answer of each route in the last 30 to 60 seconds.

    An answer's size is known only when it begins. Until then a request is counted with
    twice the largest recent answer of its route, and with the bound of the buffers if
    its route has had no answer yet. The load has few routes, each with answers of
    similar sizes.
    """

    def __init__(self) -> None:
        self._sizes_by_route: dict[str, RouteSize] = {}

    @callback
    def record(self, route: str, buffered: int, transmitted: int, now: float) -> None:
        """Record the bytes that an answer may take in memory and on the link."""
        size = self._sizes_by_route.get(route)
        if size is None:
            size = self._sizes_by_route[route] = RouteSize(since=now)
        elif now - size.since >= PERIOD:
            size.start_period(now)
        if buffered > size.buffered:
            size.buffered = buffered
        if transmitted > size.transmitted:
            size.transmitted = transmitted

    @callback
    def expected_buffered(self, route: str) -> int:
        """Return the bytes of memory that the next answer of a route may take."""
        size = self._sizes_by_route.get(route)
        if size is None:
            return MAX_ANSWER
        largest = max(size.buffered, size.earlier_buffered)
        return min(largest * MARGIN, MAX_ANSWER) if largest else 0

    @callback
    def expected_transmitted(self, route: str) -> int:
        """Return the bytes that the next answer of a route takes on the link."""
        size = self._sizes_by_route.get(route)
        if size is None:
            return 0
        return max(size.transmitted, size.earlier_transmitted)
