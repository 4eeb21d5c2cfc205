"""What `status` asked for and got."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.cli.instance_report import InstanceReport
from swiftpin.config.inventory import Inventory
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class Findings:
    """Answers of store, instance list and instances.

    `inventory` is None when the store did not answer, `reports` when the list did
    not; `errors` tells why.
    """

    inventory: Inventory | None = None
    records_by_id: dict[GroupId, GroupRecord] = field(default_factory=dict)
    reports: list[InstanceReport] | None = None
    errors: list[str] = field(default_factory=list)
