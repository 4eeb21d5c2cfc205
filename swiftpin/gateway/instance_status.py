"""State of the instance as operators see it."""

from __future__ import annotations

from typing import Any

from swiftpin.config.catalog import Catalog
from swiftpin.core import callback
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.gateway.ports import Ownership


class InstanceStatus:
    """Whether the instance takes requests, and what it holds."""

    def __init__(
        self,
        *,
        instance_id: str,
        zone: str,
        catalog: Catalog,
        ownership: Ownership,
        lifecycle: Lifecycle,
    ) -> None:
        self.lifecycle = lifecycle
        self._instance_id = instance_id
        self._zone = zone
        self._catalog = catalog
        self._ownership = ownership

    @callback
    def document(self) -> dict[str, Any]:
        """Return the JSON document of `/v1/status`."""
        return {
            "instance": self._instance_id,
            "zone": self._zone,
            "ready": self.lifecycle.ready,
            "leaving": self.lifecycle.leaving,
            "generations": dict(self._catalog.generations_by_name),
            "groups_held": [
                {
                    "service": beat.group.service,
                    "group": beat.group.group,
                    "term": beat.term,
                }
                for beat in self._ownership.held_groups()
            ],
        }
