"""A service of a cluster on loopback."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.bench.cluster.cluster_profile import BENCH_PROFILE
from swiftpin.config.models.profile_spec_model import ProfileSpecModel


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """A service and the stand-in targets to start for it.

    Fields mean what they mean in declarations; the `_ms` fields are passed to the
    targets. `refuses_orders` off makes targets take orders from anyone, whatever
    `checks_grants` declares. The profile is declared under the service's name.
    """

    name: str
    keyed: bool = True
    targets: int = 5
    groups: int = 1
    slices: int = 4096
    checks_grants: bool = True
    refuses_orders: bool = True
    slots: int = 2
    connections: int = 100
    work_ms: float = 2.0
    cold_ms: float = 0.0
    load_lag_ms: float = 0.0
    profile: ProfileSpecModel = field(default=BENCH_PROFILE)
