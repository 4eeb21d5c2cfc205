"""Order of a new holder that fences older ones."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.group_id import GroupId


@dataclass(frozen=True, kw_only=True, slots=True)
class FenceRequest:
    """From now on the target follows `holder` at `term` for the group."""

    group: GroupId
    term: int
    holder: str
