"""Views and targets that the tests of placement share."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.placement.initial import initial_assignment
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.target_state import TargetState
from swiftpin.ownership.placement.target_view import TargetView
from swiftpin.ownership.slice_assignment import SliceAssignment

GROUP = GroupId(service="desk", group=1)
SLICES = 1000
GROUPS = 4


def make_specs(count: int, zones: int) -> dict[str, TargetSpec]:
    """Return targets t0, t1, ... dealt over the zones."""
    return {
        f"t{index}": TargetSpec(
            id=f"t{index}",
            address=f"127.0.0.1:{9000 + index}",
            zone=f"z{index % zones}",
        )
        for index in range(count)
    }


def make_view(
    specs: Mapping[str, TargetSpec],
    states: Mapping[str, TargetState] | None = None,
    **loads: Mapping[int, float],
) -> PlacementView:
    """Return a view with initial owners in which targets have the given states."""
    states = states or {}
    return PlacementView(
        group=GROUP,
        slices_by_id=initial_assignment(GROUP, SLICES, GROUPS, specs),
        targets_by_id={
            target_id: TargetView(
                spec=spec, state=states.get(target_id, TargetState.LIVE)
            )
            for target_id, spec in specs.items()
        },
        load_by_slice=loads.get("load_by_slice", {}),
        active_keys_by_slice={
            key: int(value) for key, value in loads.get("active_keys", {}).items()
        },
    )


def owned_count(
    slices_by_id: Mapping[int, SliceAssignment], moves: Iterable[Move] = ()
) -> Counter[str]:
    """Return how many slices each target owns once the moves are made."""
    owners = {slice_id: item.target for slice_id, item in slices_by_id.items()}
    owners |= {move.slice_id: move.destination for move in moves}
    return Counter(owners.values())
