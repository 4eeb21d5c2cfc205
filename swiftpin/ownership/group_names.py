"""Names of groups, made once."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.ownership.group_id import GroupId


class GroupNames:
    """Keeps the `GroupId` of each group, since every request needs one."""

    def __init__(self) -> None:
        self._groups_by_number: dict[tuple[str, int], GroupId] = {}

    @callback
    def group(self, service: str, number: int) -> GroupId:
        """Return a group's name."""
        key = (service, number)
        group = self._groups_by_number.get(key)
        if group is None:
            group = GroupId(service=service, group=number)
            self._groups_by_number[key] = group
        return group
