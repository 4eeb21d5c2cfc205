"""What a placement decision is taken from."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.placement.const import DEFAULT_ACTIVE_KEYS, IDLE_SLICE_LOAD
from swiftpin.ownership.placement.target_view import TargetView
from swiftpin.ownership.slice_assignment import SliceAssignment


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementView:
    """A group's record, the state of its targets and the load its holder measured.

    Loads are mean numbers of busy slots over one window, the same for slices and
    targets. What `load_by_target` has above the sum of its slices counts as load
    that no move takes away; targets absent from it have none of that. Slices absent
    from `load_by_slice` are idle. `active_keys_by_slice` is 1 for the slice of a key
    exception; slices absent from it count as `DEFAULT_ACTIVE_KEYS`.
    `service_utilisation` is the load over the capacity of all groups of the service, as
    far as the holder knows it from others; None when it does not.
    """

    group: GroupId
    slices_by_id: Mapping[int, SliceAssignment]
    targets_by_id: Mapping[str, TargetView]
    load_by_target: Mapping[str, float] = field(default_factory=dict)
    load_by_slice: Mapping[int, float] = field(default_factory=dict)
    active_keys_by_slice: Mapping[int, int] = field(default_factory=dict)
    service_utilisation: float | None = None

    def slice_load(self, slice_id: int) -> float:
        """Return the slice's load in slots, never zero."""
        return self.load_by_slice.get(slice_id, 0.0) + IDLE_SLICE_LOAD

    def active_keys(self, slice_id: int) -> int:
        """Return how many active keys a move of the slice moves."""
        return self.active_keys_by_slice.get(slice_id, DEFAULT_ACTIVE_KEYS)

    def is_usable(self, target_id: str | None) -> bool:
        """Return whether the target is known and may own slices."""
        if target_id is None:
            return False
        target = self.targets_by_id.get(target_id)
        return target is not None and target.state.is_usable
