"""What placement needs to know of a held group."""

from __future__ import annotations

from collections.abc import Mapping

from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.holder_links import Link
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.target_state import TargetState as PlacementState
from swiftpin.ownership.placement.target_view import TargetView
from swiftpin.ownership.target_state import TargetState


def placement_view(
    record: GroupRecord,
    links_by_target: Mapping[str, Link],
    specs_by_id: Mapping[str, TargetSpec],
    *,
    lost: frozenset[str],
    leaving: frozenset[str],
    load_by_slice: Mapping[int, float] | None = None,
) -> PlacementView:
    """Return the group's record and the state of its targets.

    A target that does not answer but may still serve also counts as lost, so that
    nothing is given to it; the caller moves slices of `lost` ones only.
    """
    targets_by_id: dict[str, TargetView] = {}
    for target in sorted(record.targets):
        link = links_by_target.get(target)
        # A target that was removed from the declaration still owns slices; left out
        # here, it would keep them for ever.
        spec = specs_by_id.get(target) or (None if link is None else link.spec)
        if spec is not None:
            state = _state(target, link, lost, leaving)
            targets_by_id[target] = TargetView(spec=spec, state=state)
    return PlacementView(
        group=record.id,
        slices_by_id=record.slices_by_id,
        targets_by_id=targets_by_id,
        load_by_slice=load_by_slice or {},
    )


def _state(
    target: str, link: Link | None, lost: frozenset[str], leaving: frozenset[str]
) -> PlacementState:
    """Return a target's state in the terms of placement."""
    if target in lost or link is None or link.state is not TargetState.LIVE:
        return PlacementState.LOST
    if target in leaving:
        return PlacementState.LEAVING
    return PlacementState.LIVE
