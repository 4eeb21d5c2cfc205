"""Who is told when this instance gains or gives up a group."""

from __future__ import annotations

from typing import Protocol

from swiftpin.ownership.group_id import GroupId


class GroupListener(Protocol):
    """Part of the instance that works for held groups, such as the dispatcher."""

    def group_acquired(self, group: GroupId, term: int) -> None:
        """Begin to work for a group; also called when its term grows."""

    async def async_group_releasing(self, group: GroupId) -> None:
        """Finish, before a planned hand-over, what must not be cut off."""

    def target_lost(self, group: GroupId, target: str) -> None:
        """Give up what runs at a target whose slices are about to move."""

    def group_lost(self, group: GroupId) -> None:
        """Stop working for a group that another instance may hold now."""
