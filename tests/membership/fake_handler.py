"""A handler of ownership messages that records what it got."""

from __future__ import annotations

from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.ownership.group_id import GroupId


class FakeHandler:
    """Implements `PeerHandler`; accepts the groups in `accepts`."""

    def __init__(self) -> None:
        self.accepts: set[GroupId] = set()
        self.senders: list[str] = []
        self.beats: list[GroupHeartbeat] = []
        self.hand_overs: list[tuple[GroupId, int]] = []

    def handle_heartbeat(
        self, sender: str, beats: list[GroupHeartbeat], now: float
    ) -> frozenset[GroupId]:
        """Acknowledge the groups in `accepts`."""
        self.senders.append(sender)
        self.beats.extend(beats)
        return frozenset(beat.group for beat in beats if beat.group in self.accepts)

    async def async_handle_hand_over(
        self, sender: str, group: GroupId, term: int, now: float
    ) -> bool:
        """Take over the groups in `accepts`."""
        self.hand_overs.append((group, term))
        return group in self.accepts
