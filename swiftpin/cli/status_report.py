"""State of the whole system as one run of `status` found it."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.cli.instance_row import InstanceRow
from swiftpin.cli.service_row import ServiceRow


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusReport:
    """Instances, services and one line for each thing that is not well."""

    instances: list[InstanceRow] = field(default_factory=list)
    services: list[ServiceRow] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    store_reachable: bool = True
