"""Tests of targets that are cold or whose zone is evacuated."""

from __future__ import annotations

from dataclasses import replace

from swiftpin.discovery.const import DRAIN_MARGIN
from swiftpin.discovery.evacuations import Evacuations
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.platform.platform_object import PlatformObject
from tests.discovery.conftest import DRAIN, entry

COLD_START = 3.0


def make_directory(bound: float = 5.0) -> TargetDirectory:
    """Return a directory that lists a target at time 0."""
    directory = TargetDirectory(StoreHealth(), DRAIN, Evacuations(bound))
    directory.set_services({"desk"}, 0.0)
    directory.adopt_list((entry("a", 1),), 1, 0.0)
    directory.evacuations.adopt_list((), 1, 0.0)
    return directory


def cold_entry(name: str, revision: int, milliseconds: int) -> PlatformObject:
    """Return the entry of a target that is cold."""
    found = entry(name, revision)
    status = {"state": "ready", "sequence": revision, "cold_ms": milliseconds}
    content = {**found.content, "status": status}
    return replace(found, document={"specification": content})


def cold_left(directory: TargetDirectory, now: float) -> float:
    """Return for how long the target is cold."""
    return directory.cold_time_left(directory.targets_by_id["a"], COLD_START, now)


def test_target_that_is_cold_again_is_known_to_be() -> None:
    """Guards against a rate for warm targets at one that is cold again."""
    directory = make_directory()
    assert cold_left(directory, 0.0) == 0.0
    directory.adopt_changes((cold_entry("a", 2, 3000),), 2, 10.0)
    assert cold_left(directory, 11.0) == 2.0
    directory.adopt_changes((cold_entry("a", 3, 0),), 3, 12.0)
    assert cold_left(directory, 12.0) == 0.0


def test_neighbours_are_told_for_how_long_a_target_is_still_cold() -> None:
    """Guards against targets that seem cold for longer the later it is told."""
    directory = make_directory()
    directory.adopt_changes((cold_entry("a", 2, 3000),), 2, 10.0)
    (told,) = directory.targets_changed_since(1, 12.0)
    assert told.cold_for == 1.0
    assert directory.targets_changed_since(2, 12.0) == []


def test_targets_of_a_zone_that_is_taken_back_count_as_cold() -> None:
    """Guards against a crowd at targets whose entries tell late that they are cold."""
    directory = make_directory()
    zone = PlatformObject(name="z", revision=2, is_deleted=False, document={})
    directory.evacuations.adopt_changes((zone,), 2, 1.0)
    directory.evacuations.adopt_changes(
        (replace(zone, revision=3, is_deleted=True),), 3, 6.0
    )
    assert cold_left(directory, 7.0) == 2.0
    assert cold_left(directory, 9.0) == 0.0


def test_evacuated_target_serves_its_keys_only() -> None:
    """Guards against new requests to a zone from which keys are leaving."""
    directory = make_directory()
    zone = PlatformObject(name="z", revision=2, is_deleted=False, document={})
    directory.evacuations.adopt_changes((zone,), 2, 1.0)
    assert directory.serving_targets("desk", 1.0) == []
    assert [target.id for target in directory.retiring_targets("desk", 1.0)] == ["a"]
    assert directory.is_leaving("a")
    assert directory.retiring_targets("desk", 6.0) == []
    assert not directory.may_send("a", 6.0)


def test_evacuation_does_not_prolong_a_targets_drain_time() -> None:
    """Guards against requests to a target that has left an evacuated zone."""
    directory = make_directory(bound=60.0)
    zone = PlatformObject(name="z", revision=2, is_deleted=False, document={})
    directory.evacuations.adopt_changes((zone,), 2, 1.0)
    directory.adopt_changes((entry("a", 3, state="draining"),), 3, 2.0)
    assert directory.may_send("a", 2.0)
    assert not directory.may_send("a", 2.0 + DRAIN - DRAIN_MARGIN)
