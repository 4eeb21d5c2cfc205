"""Traffic counters of an instance's links."""

from __future__ import annotations

from collections import Counter

from swiftpin.core import callback


class LinkTraffic:
    """Counts sent items, sent bytes and lost links."""

    def __init__(self) -> None:
        self.items_sent: Counter[str] = Counter()
        """Sent items by kind."""

        self.bytes_sent = 0
        self.links_lost: Counter[str] = Counter()
        """Lost links by reason."""

    @callback
    def count_items(self, kind: str, count: int = 1) -> None:
        """Count items queued on a link."""
        self.items_sent[kind] += count

    @callback
    def count_bytes(self, size: int) -> None:
        """Count the bytes of a sent frame."""
        self.bytes_sent += size

    @callback
    def count_lost_link(self, reason: str) -> None:
        """Count a lost link."""
        self.links_lost[reason] += 1
