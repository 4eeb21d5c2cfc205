"""Counts of an instance's messages to others."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class PeerCounters:
    """Counts since start; bytes are those of messages, without their framing.

    `sent` counts requests and replies that this instance sent, `received` those
    that it received; `failed` counts calls that ended without a reply.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    failed: int = 0
    refused: int = 0
    news_duplicates: int = 0
    news_dropped: int = 0
    repaired: int = 0
    store_calls: int = 0

    def note_sent(self, size: int) -> None:
        """Count one message sent, with its size in bytes."""
        self.sent += 1
        self.sent_bytes += size

    def note_received(self, size: int) -> None:
        """Count one message received, with its size in bytes."""
        self.received += 1
        self.received_bytes += size
