"""A holder's sign of life for one group."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.group_id import GroupId


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupHeartbeat:
    """The term and revision under which the sender holds the group."""

    group: GroupId
    term: int
    revision: int
