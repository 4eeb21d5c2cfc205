"""Calls to other instances of which some are lost."""

from __future__ import annotations

from random import Random

from swiftpin.exceptions import PeerError
from swiftpin.membership.compare_reply import CompareReply
from swiftpin.membership.directory import InstanceDirectory
from swiftpin.membership.news_item import NewsItem
from swiftpin.membership.peer_clients import PeerClients
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.membership.push_reply import PushReply
from swiftpin.membership.repair_reply import RepairReply
from swiftpin.membership.stamp import Stamp


class LossyPeerClients(PeerClients):
    """Loses a share, 0 to 1, of the messages of news before they are sent."""

    def __init__(
        self,
        *,
        instance_id: str,
        directory: InstanceDirectory,
        counters: PeerCounters,
        share: float,
        seed: int,
    ) -> None:
        super().__init__(
            instance_id=instance_id, directory=directory, counters=counters
        )
        self._share = share
        self._random = Random(f"loss/{instance_id}/{seed}")

    async def async_push_news(
        self, instance_id: str, items: list[NewsItem]
    ) -> PushReply:
        """Pass versions on, unless lost."""
        self._lose()
        return await super().async_push_news(instance_id, items)

    async def async_compare(self, instance_id: str, root: int) -> CompareReply:
        """Compare the digest of everything, unless lost."""
        self._lose()
        return await super().async_compare(instance_id, root)

    async def async_repair(
        self, instance_id: str, buckets: list[int], stamps_by_name: dict[str, Stamp]
    ) -> RepairReply:
        """Compare the versions in some buckets, unless lost."""
        self._lose()
        return await super().async_repair(instance_id, buckets, stamps_by_name)

    def _lose(self) -> None:
        """Raise for the messages that are lost."""
        if self._random.random() < self._share:
            raise PeerError("lost by the measurement")
