"""Counts of the reservations of an issuer."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from swiftpin.core import callback


class ReservationEvent(StrEnum):
    """What happened to a reservation."""

    MADE = "made"
    USED = "used"
    EXPIRED = "expired"
    EARLY_RETURN = "early_return"


class ReservationCounts:
    """Counts the reservations of all services of one issuer."""

    def __init__(self) -> None:
        self.events: Counter[tuple[str, ...]] = Counter()
        """Events by service and name."""

    @callback
    def record(self, service: str, event: ReservationEvent, count: int = 1) -> None:
        """Count events of one service."""
        self.events[service, event.value] += count

    @callback
    def of(self, service: str, event: ReservationEvent) -> int:
        """Return the count of one event of a service."""
        return self.events[service, event.value]
