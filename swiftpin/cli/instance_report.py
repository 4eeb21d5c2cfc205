"""An instance as listed and as it answered."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.cli.instance_status import InstanceStatus
from swiftpin.membership.instance_info import InstanceInfo


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceReport:
    """The list's entry and the status, or why there is none."""

    info: InstanceInfo
    status: InstanceStatus | None = None
    error: str = ""
