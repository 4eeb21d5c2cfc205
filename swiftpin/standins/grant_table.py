"""All grants of a target."""

from __future__ import annotations

from collections.abc import Callable

from swiftpin.core import callback
from swiftpin.ownership.group_id import GroupId
from swiftpin.standins.group_grants import GrantEvent, GroupGrants
from swiftpin.standins.target_identity import TargetIdentity


class GrantTable:
    """Grants by group; `record` hears of each change of what is held."""

    def __init__(
        self, identity: TargetIdentity, record: Callable[[GrantEvent], None]
    ) -> None:
        self._identity = identity
        self._record = record
        self._grants_by_group: dict[GroupId, GroupGrants] = {}

    @property
    def lapse_at(self) -> float:
        """Return when the next grant may lapse."""
        limits = (grants.lapse_at for grants in self._grants_by_group.values())
        return min(limits, default=float("inf"))

    def group(self, group: GroupId) -> GroupGrants:
        """Return the grants of a group, empty and unfenced if it is new."""
        grants = self._grants_by_group.get(group)
        if grants is None:
            grants = GroupGrants(
                group.service, group.group, self._identity, self._record
            )
            self._grants_by_group[group] = grants
        return grants

    @callback
    def lapse(self, now: float) -> None:
        """Give up what has lapsed."""
        for grants in self._grants_by_group.values():
            grants.lapse(now)

    @callback
    def stop(self, now: float) -> None:
        """Give up everything because the target ends."""
        for grants in self._grants_by_group.values():
            grants.lapse(now)
            grants.stop(now)
