"""Answer to a request for repair."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.membership.news_item import NewsItem


@dataclass(frozen=True, kw_only=True, slots=True)
class RepairReply:
    """Newer versions of the receiver and names of which the sender's are newer."""

    items: list[NewsItem]
    wanted: frozenset[str]
