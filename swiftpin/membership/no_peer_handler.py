"""Answers to other instances before ownership is set up."""

from __future__ import annotations

from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.ownership.group_id import GroupId


class NoPeerHandler:
    """Accepts nothing, so that nobody relies on this instance yet."""

    def handle_heartbeat(
        self, sender: str, beats: list[GroupHeartbeat], now: float
    ) -> frozenset[GroupId]:
        """Acknowledge no group."""
        return frozenset()

    async def async_handle_hand_over(
        self, sender: str, group: GroupId, term: int, now: float
    ) -> bool:
        """Take no group over."""
        return False
