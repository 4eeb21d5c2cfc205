"""Messages that ownership sends to other instances."""

from __future__ import annotations

from typing import Protocol

from swiftpin.exceptions import PeerError
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.membership.heartbeat_reply import HeartbeatReply
from swiftpin.membership.peer_restarted_error import PeerRestartedError
from swiftpin.ownership.group_id import GroupId


class Peers(Protocol):
    """Calls that raise `PeerError` when no answer came."""

    async def async_heartbeat(
        self, instance_id: str, beats: list[GroupHeartbeat]
    ) -> HeartbeatReply:
        """Send a sign of life for groups and return the acknowledged ones."""

    async def async_hand_over(
        self, instance_id: str, group: GroupId, term: int
    ) -> bool:
        """Ask an instance to hold a group that was written over to it."""


def is_gone(err: PeerError) -> bool:
    """Return whether the error shows that the instance's process ended.

    Its address refuses connections, or another incarnation answers there.
    """
    if isinstance(err, PeerRestartedError):
        return True
    return isinstance(err.__cause__, ConnectionRefusedError)
