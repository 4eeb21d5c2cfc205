"""Repair of standbys that no longer fit."""

from __future__ import annotations

from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.standby import StandbyChooser


def plan_standbys(view: PlacementView) -> dict[int, str | None]:
    """Return the new standby of each slice whose standby is lost, leaving or unfit.

    A change of standby moves no key. Slices whose owner is unusable are left out, since
    their move names the standby.
    """
    chooser = StandbyChooser(
        target.spec for target in view.targets_by_id.values() if target.state.is_usable
    )
    return {
        slice_id: chooser.choose(assignment.target)
        for slice_id, assignment in sorted(view.slices_by_id.items())
        if view.is_usable(assignment.target)
        and not chooser.is_fit(assignment.target, assignment.standby)
    }
