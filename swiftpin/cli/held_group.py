"""A group that an instance says it holds."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.group_id import GroupId


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldGroup:
    """The group and the term under which it is held."""

    id: GroupId
    term: int
