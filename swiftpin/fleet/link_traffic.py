"""Counts of what goes over an instance's links."""

from __future__ import annotations

from collections import Counter

from swiftpin.core import callback


class LinkTraffic:
    """Counts items and bytes that were sent, and links that were lost."""

    def __init__(self) -> None:
        self.items_sent: Counter[str] = Counter()
        """Items by their kind."""

        self.bytes_sent = 0
        self.links_lost: Counter[str] = Counter()
        """Links by the reason of their end."""

    @callback
    def count_items(self, kind: str, count: int = 1) -> None:
        """Count items that were handed to a link."""
        self.items_sent[kind] += count

    @callback
    def count_bytes(self, size: int) -> None:
        """Count the bytes of a frame."""
        self.bytes_sent += size

    @callback
    def count_lost_link(self, reason: str) -> None:
        """Count a link that ended."""
        self.links_lost[reason] += 1
