"""Watch over callers that read long answers."""

from __future__ import annotations

import asyncio
from collections import Counter

from swiftpin.capacity.admission import Holding
from swiftpin.capacity.reader_progress import MIN_RATE, SlowReason
from swiftpin.core import callback
from swiftpin.router.delivery import Delivery


class DeliveryWatch:
    """Disconnects callers that are too slow to be served."""

    def __init__(self, bandwidth: float) -> None:
        self.deliveries: set[Delivery] = set()
        self.disconnected: Counter[str] = Counter()
        """Callers that were disconnected, by reason."""

        self._bandwidth = bandwidth

    @callback
    def add(
        self, transport: asyncio.Transport, holding: Holding, now: float
    ) -> Delivery:
        """Return a delivery that is checked until it ends."""
        delivery = Delivery(
            transport=transport,
            holding=holding,
            on_end=self.deliveries.discard,
            now=now,
        )
        self.deliveries.add(delivery)
        return delivery

    @callback
    def check(self, now: float) -> int:
        """Disconnect the callers that are too slow; return their number."""
        # Callers that share a full link can't read faster than their part of it.
        fair_share = self._bandwidth / max(len(self.deliveries), 1)
        min_rate = min(MIN_RATE, fair_share / 2)
        slow: list[tuple[Delivery, SlowReason]] = []
        for delivery in self.deliveries:
            reason = delivery.check(min_rate, now)
            if reason is not None:
                slow.append((delivery, reason))
        for delivery, reason in slow:
            self.disconnected[reason.value] += 1
            self.deliveries.discard(delivery)
            delivery.cut_off()
        return len(slow)
