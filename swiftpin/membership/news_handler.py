"""What the news service answers to other instances."""

from __future__ import annotations

from typing import Protocol

from swiftpin.membership.compare_reply import CompareReply
from swiftpin.membership.news_item import NewsItem
from swiftpin.membership.push_reply import PushReply
from swiftpin.membership.repair_reply import RepairReply
from swiftpin.membership.stamp import Stamp


class NewsHandler(Protocol):
    """Handles news; `sender` is an instance id, times are in seconds."""

    def handle_push(self, sender: str, items: list[NewsItem], now: float) -> PushReply:
        """Adopt what is new and pass it on."""

    def handle_compare(self, root: int, now: float) -> CompareReply:
        """Compare the digest of everything."""

    def handle_repair(
        self, buckets: list[int], stamps_by_name: dict[str, Stamp]
    ) -> RepairReply:
        """Compare the versions in some buckets."""
