"""Finding of instances that may become a group's successor."""

from __future__ import annotations

from collections.abc import Callable

from swiftpin.core import callback
from swiftpin.membership.instance_id import name_of
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.instances import Instances
from swiftpin.ownership.live_instances import LiveInstances
from swiftpin.ownership.record_view import RecordView
from swiftpin.ownership.successors import choose_successor, roles_by_name


class SuccessorFinder:
    """Names successors by instance id; `greet` learns an instance's incarnation."""

    def __init__(
        self,
        *,
        instance_id: str,
        zone: str,
        instances: Instances,
        live: LiveInstances,
        records: RecordView,
        greet: Callable[[str], None],
    ) -> None:
        self._name = name_of(instance_id)
        self._zone = zone
        self._instances = instances
        self._live = live
        self._records = records
        self._greet = greet

    @callback
    def find(self, group: GroupId) -> str | None:
        """Return the id of the best successor, None while none is known."""
        candidates = dict(self._live.by_name)
        candidates.pop(self._name, None)
        record = self._records.get(group)
        silent = record.successor if record is not None else None
        if silent is not None and len(candidates) > 1:
            candidates.pop(name_of(silent), None)
        chosen = choose_successor(
            group,
            candidates,
            holder_zone=self._zone,
            roles=roles_by_name(self._records.values()),
        )
        if chosen is None:
            return None
        incarnation = self._instances.incarnations_by_name.get(chosen)
        if incarnation is None:
            self._greet(chosen)
            return None
        return f"{chosen}/{incarnation}"
