"""Tests of targets that are cold or in an evacuated zone."""

from __future__ import annotations

from dataclasses import replace

from swiftpin.discovery.const import DRAIN_MARGIN
from swiftpin.discovery.evacuations import Evacuations
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.platform.platform_object import PlatformObject
from tests.discovery.conftest import DRAIN, entry

COLD_START = 3.0


def make_directory(limit: float = 5.0) -> TargetDirectory:
    """Return a directory that lists a target at time 0."""
    directory = TargetDirectory(StoreHealth(), DRAIN, Evacuations(limit))
    directory.adopt_list((entry("a", 1),), 1, 0.0)
    directory.evacuations.adopt_list((), 1, 0.0)
    return directory


def cold_entry(name: str, revision: int, milliseconds: int) -> PlatformObject:
    """Return the entry of a target that is cold."""
    warm_entry = entry(name, revision)
    status = {"state": "ready", "sequence": revision, "cold_ms": milliseconds}
    content = {**warm_entry.content, "status": status}
    return replace(warm_entry, document={"specification": content})


def cold_time_left(directory: TargetDirectory, now: float) -> float:
    """Return the seconds for which the target is still cold."""
    return directory.cold_time_left(directory.targets_by_id["a"], COLD_START, now)


def test_target_can_become_cold_again() -> None:
    """Guards against sending requests to a cold target at the rate of a warm one."""
    directory = make_directory()
    assert cold_time_left(directory, 0.0) == 0.0
    directory.adopt_changes((cold_entry("a", 2, 3000),), 2, 10.0)
    assert cold_time_left(directory, 11.0) == 2.0
    directory.adopt_changes((cold_entry("a", 3, 0),), 3, 12.0)
    assert cold_time_left(directory, 12.0) == 0.0


def test_remaining_cold_time_is_sent_to_neighbours() -> None:
    """Guards against a cold time that restarts with each report to a neighbour."""
    directory = make_directory()
    directory.adopt_changes((cold_entry("a", 2, 3000),), 2, 10.0)
    (reported,) = directory.targets_changed_since(1, 12.0)
    assert reported.cold_for == 1.0
    assert directory.targets_changed_since(2, 12.0) == []


def test_targets_are_cold_after_the_evacuation_of_their_zone() -> None:
    """Guards against overload of cold targets whose entries report it late."""
    directory = make_directory()
    zone = PlatformObject(name="z", revision=2, is_deleted=False, document={})
    directory.evacuations.adopt_changes((zone,), 2, 1.0)
    directory.evacuations.adopt_changes(
        (replace(zone, revision=3, is_deleted=True),), 3, 6.0
    )
    assert cold_time_left(directory, 7.0) == 2.0
    assert cold_time_left(directory, 9.0) == 0.0


def test_evacuated_target_only_serves_its_keys() -> None:
    """Guards against new requests to a zone whose keys are being moved away."""
    directory = make_directory()
    zone = PlatformObject(name="z", revision=2, is_deleted=False, document={})
    directory.evacuations.adopt_changes((zone,), 2, 1.0)
    assert directory.serving_targets("desk", 1.0) == []
    assert [target.id for target in directory.retiring_targets("desk", 1.0)] == ["a"]
    assert directory.is_leaving("a")
    assert directory.retiring_targets("desk", 6.0) == []
    assert not directory.may_send("a", 6.0)


def test_evacuation_does_not_extend_the_drain_time() -> None:
    """Guards against requests to a target that left during an evacuation."""
    directory = make_directory(limit=60.0)
    zone = PlatformObject(name="z", revision=2, is_deleted=False, document={})
    directory.evacuations.adopt_changes((zone,), 2, 1.0)
    directory.adopt_changes((entry("a", 3, state="draining"),), 3, 2.0)
    assert directory.may_send("a", 2.0)
    assert not directory.may_send("a", 2.0 + DRAIN - DRAIN_MARGIN)
