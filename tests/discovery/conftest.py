"""Fixtures and builders for tests of the target directory."""

from __future__ import annotations

from typing import Any

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife
from swiftpin.platform.platform_object import PlatformObject

DRAIN = 2.0


@pytest.fixture(name="health")
def health_fixture() -> StoreHealth:
    """Return the health of a store that is available."""
    return StoreHealth()


@pytest.fixture(name="directory")
def directory_fixture(health: StoreHealth) -> TargetDirectory:
    """Return a directory that lists two targets at time 0."""
    directory = TargetDirectory(health, DRAIN)
    directory.adopt_list((entry("a", 1), entry("b", 2)), 2, 0.0)
    return directory


def content(
    name: str,
    *,
    state: str = "ready",
    address: str = "",
    born: int | None = None,
    service: str = "desk",
) -> dict[str, Any]:
    """Return the content of the entry that a target writes."""
    written: dict[str, Any] = {
        "address": address or f"{name}:1",
        "information": {"service": service, "version": "v1", "zone": "z", "slots": 2},
        "status": {"state": state, "sequence": 1, "cold_ms": 0},
    }
    if born is not None:
        written["born"] = born
    return written


def entry(
    name: str,
    revision: int,
    *,
    state: str = "ready",
    address: str = "",
    born: int | None = None,
    service: str = "desk",
) -> PlatformObject:
    """Return the entry of a target."""
    written = content(name, state=state, address=address, born=born, service=service)
    return PlatformObject(
        name=name,
        revision=revision,
        is_deleted=False,
        document={"specification": written},
    )


def removed(name: str, revision: int) -> PlatformObject:
    """Return the removal of an entry."""
    return PlatformObject(name=name, revision=revision, is_deleted=True, document={})


def target(
    name: str, revision: int, *, born: int | None = None, is_draining: bool = False
) -> Target:
    """Return a target as reported by a neighbour."""
    return Target(
        life=TargetLife(name=name, started_ms=born),
        service="desk",
        address=f"{name}:1",
        zone="z",
        slots=2,
        is_draining=is_draining,
        cold_for=0.0,
        revision=revision,
    )


def ids(directory: TargetDirectory) -> set[str]:
    """Return the ids of the serving targets."""
    return {item.id for item in directory.serving_targets("desk", 0.0)}
