"""When a hot key is worth a slice of its own."""

from __future__ import annotations

from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.target_view import TargetView
from swiftpin.ownership.slice_assignment import SliceAssignment
from swiftpin.ownership.slice_balance import overloaded_targets


def view_of(load_by_slice: dict[int, float], targets: int) -> PlacementView:
    """Return a group whose slice n belongs to target n modulo `targets`."""
    return PlacementView(
        group=GroupId(service="desk", group=0),
        slices_by_id={
            slice_id: SliceAssignment(target=f"t{slice_id % targets}", term=1)
            for slice_id in range(6)
        },
        targets_by_id={
            f"t{number}": TargetView(
                spec=TargetSpec(id=f"t{number}", address="127.0.0.1:1", zone="a")
            )
            for number in range(targets)
        },
        load_by_slice=load_by_slice,
    )


def test_even_load_overloads_nobody() -> None:
    """Symptom: latency peaks every few seconds under an even load of few keys.

    Events: each key is a large share of its target's load and is split out, which
    stops its home for a moment, though no move follows.
    Cause: splitting by the key's share alone.
    """
    assert overloaded_targets(view_of(dict.fromkeys(range(6), 0.3), 3)) == frozenset()


def test_a_single_target_is_never_overloaded() -> None:
    """There is nowhere to move its keys to."""
    assert overloaded_targets(view_of({0: 1.9}, 1)) == frozenset()


def test_the_busiest_target_is_overloaded() -> None:
    """Its hot key may be split out and moved."""
    assert overloaded_targets(view_of({0: 1.0, 1: 0.2, 2: 0.2}, 3)) == {"t0"}
