"""First assignment of a group's slices."""

from __future__ import annotations

from collections.abc import Mapping
from heapq import heapify, heapreplace
from typing import Final

from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.placement.hashing import tie_hash
from swiftpin.ownership.placement.standby import StandbyChooser
from swiftpin.ownership.slice_assignment import SliceAssignment

FIRST_TERM: Final = 1


def initial_assignment(
    group: GroupId,
    slices: int,
    groups: int,
    targets_by_id: Mapping[str, TargetSpec],
) -> dict[int, SliceAssignment]:
    """Return an owner and a standby for each slice of the group.

    `targets_by_id` are the targets of the group only, `slices` and `groups` the
    numbers of the whole service. Owners get slices in proportion to their slots.
    With no target there is no assignment.
    """
    if not targets_by_id:
        return {}
    slice_ids = slices_of_group(group, slices, groups)
    chooser = StandbyChooser(targets_by_id.values())
    owner_by_slice = _owners(group, slice_ids, targets_by_id)
    return {
        slice_id: SliceAssignment(
            target=owner, term=FIRST_TERM, standby=chooser.choose(owner)
        )
        for slice_id, owner in owner_by_slice.items()
    }


def slices_of_group(group: GroupId, slices: int, groups: int) -> list[int]:
    """Return the slices of the group in ascending order."""
    return list(range(group.group, slices, groups))


def _owners(
    group: GroupId, slice_ids: list[int], targets_by_id: Mapping[str, TargetSpec]
) -> dict[int, str]:
    """Return the owner of each slice, dealt to whoever is furthest below its share."""
    heap = [
        (1.0 / max(spec.slots, 1), tie_hash(group.service, spec.id), spec.id, 1)
        for spec in targets_by_id.values()
    ]
    heapify(heap)
    owner_by_slice: dict[int, str] = {}
    for slice_id in slice_ids:
        _, tie, target_id, count = heap[0]
        owner_by_slice[slice_id] = target_id
        slots = max(targets_by_id[target_id].slots, 1)
        heapreplace(heap, ((count + 1) / slots, tie, target_id, count + 1))
    return owner_by_slice
