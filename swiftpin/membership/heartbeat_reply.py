"""Answer to a holder's heartbeat."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.group_id import GroupId


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReply:
    """Instance id of the receiver and the groups that it acknowledged."""

    receiver: str
    accepted: frozenset[GroupId]
