"""The listed instances that are not leaving, and their turns."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from xxhash import xxh3_64_intdigest

from swiftpin.core import callback
from swiftpin.membership.instance_id import name_of
from swiftpin.membership.instance_info import InstanceInfo
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.instances import Instances


class LiveInstances:
    """Works lists out once for each list of the platform, not once for each group.

    With thousands of instances and groups, sorting the names for each group every
    second would take more than the whole processor.
    """

    def __init__(self, instances: Instances, instance_id: str) -> None:
        self._instances = instances
        self._name = name_of(instance_id)
        self._listed: Mapping[str, InstanceInfo] = {}
        self._size = -1
        self._by_name: dict[str, InstanceInfo] = {}
        self._order: list[str] = [self._name]

    @property
    def by_name(self) -> Mapping[str, InstanceInfo]:
        """Return the instances that are listed and not leaving."""
        self._refresh()
        return self._by_name

    @callback
    def rank(self, group: GroupId) -> int:
        """Return how many instances come before this one for a new group.

        The groups of a service take turns, so that each instance gets its share.
        """
        self._refresh()
        offset = xxh3_64_intdigest(group.service) + group.group
        return (self._order.index(self._name) - offset) % len(self._order)

    @callback
    def is_next(self, group: GroupId, involved: Iterable[str]) -> bool:
        """Return whether this instance is the first that may act for a group.

        `involved` are the names of those that cannot, its holder and successor.
        """
        self._refresh()
        excluded = set(involved)
        if self._name in excluded:
            return False
        start = xxh3_64_intdigest(f"{group.service}/{group.group}")
        for step in range(len(self._order)):
            name = self._order[(start + step) % len(self._order)]
            if name not in excluded:
                return name == self._name
        return False

    def _refresh(self) -> None:
        """Work the lists out again when the platform's list is another one."""
        listed = self._instances.instances_by_name
        if listed is self._listed and len(listed) == self._size:
            return
        self._size = len(listed)
        self._listed = listed
        self._by_name = {
            name: info for name, info in listed.items() if not info.leaving
        }
        self._order = sorted({self._name, *self._by_name})
