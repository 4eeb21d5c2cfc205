"""Targets for the key range tests."""

from __future__ import annotations

from swiftpin.model.service_spec import ServiceSpec
from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife


def make_target(
    name: str, *, started_ms: int | None = None, revision: int = 1, address: str = ""
) -> Target:
    """Return a target of the service used in these tests."""
    return Target(
        life=TargetLife(name=name, started_ms=started_ms),
        service="desk",
        address=address or f"{name}:1",
        zone="z",
        slots=2,
        is_draining=False,
        cold_for=0.0,
        revision=revision,
    )


KEYED_SERVICE = ServiceSpec(
    name="desk", is_keyed=True, health_path="/health", max_connections=100, warmup=3.0
)
"""Spec of the service used in these tests."""
