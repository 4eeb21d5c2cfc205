"""What ownership answers to other instances."""

from __future__ import annotations

from typing import Protocol

from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.ownership.group_id import GroupId


class PeerHandler(Protocol):
    """Handles messages that were addressed to this incarnation of the instance.

    `sender` is an instance id; `now` is the monotonic time in seconds at which the
    message is handled, which may be long after it was sent.
    """

    def handle_heartbeat(
        self, sender: str, beats: list[GroupHeartbeat], now: float
    ) -> frozenset[GroupId]:
        """Return the groups whose heartbeat is acknowledged."""

    async def async_handle_hand_over(
        self, sender: str, group: GroupId, term: int, now: float
    ) -> bool:
        """Return whether this instance takes the group over.

        It is cancelled when the sender gives up waiting for the answer.
        """
