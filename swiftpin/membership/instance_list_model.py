"""Validated form of the platform's instance list."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel

from swiftpin.membership.instance_info import InstanceInfo


class InstanceModel(BaseModel):
    """One listed instance."""

    name: str
    zone: str
    state: Literal["live", "leaving"]
    peer: str
    forward: str
    admin: str

    def to_info(self) -> InstanceInfo:
        """Return the data class of the instance."""
        return InstanceInfo(
            name=self.name,
            zone=self.zone,
            leaving=self.state == "leaving",
            peer=self.peer,
            forward=self.forward,
            admin=self.admin,
        )


class InstanceListModel(BaseModel):
    """Body of `GET /v1/instances`."""

    instances: list[InstanceModel]

    def to_infos_by_name(self) -> dict[str, InstanceInfo]:
        """Return the instances by name."""
        return {item.name: item.to_info() for item in self.instances}
