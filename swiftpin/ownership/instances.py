"""What ownership needs to know of the other instances."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from swiftpin.membership.instance_info import InstanceInfo


class Instances(Protocol):
    """The platform's lagging list and the incarnations last heard of."""

    @property
    def instances_by_name(self) -> Mapping[str, InstanceInfo]:
        """Return the listed instances."""

    @property
    def incarnations_by_name(self) -> Mapping[str, str]:
        """Return the incarnation last heard of, by instance name."""

    def info_of(self, instance_id: str) -> InstanceInfo | None:
        """Return the listed instance of an id or name."""
