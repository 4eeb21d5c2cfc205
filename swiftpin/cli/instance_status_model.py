"""Validated form of an instance's status."""

from __future__ import annotations

from pydantic import BaseModel

from swiftpin.cli.held_group import HeldGroup
from swiftpin.cli.instance_status import InstanceStatus
from swiftpin.ownership.group_id import GroupId


class HeldGroupModel(BaseModel):
    """One group in the status."""

    service: str
    group: int
    term: int

    def to_held_group(self) -> HeldGroup:
        """Return the data class of the group."""
        group_id = GroupId(service=self.service, group=self.group)
        return HeldGroup(id=group_id, term=self.term)


class InstanceStatusModel(BaseModel):
    """Body of `GET /v1/status`; fields that a later release adds are passed over."""

    instance: str
    zone: str
    ready: bool
    leaving: bool
    generations: dict[str, int]
    groups_held: list[HeldGroupModel]

    def to_status(self) -> InstanceStatus:
        """Return the data class of the status."""
        return InstanceStatus(
            instance=self.instance,
            zone=self.zone,
            ready=self.ready,
            leaving=self.leaving,
            generations_by_name=self.generations,
            groups_held=tuple(item.to_held_group() for item in self.groups_held),
        )
