"""Working copy of the targets' load during one decision."""

from __future__ import annotations

from collections import defaultdict

from swiftpin.ownership.placement.const import GROUP_DEADBAND, IDLE_SLICE_LOAD
from swiftpin.ownership.placement.placement_view import PlacementView


class LoadTable:
    """Load of all targets and capacity of the usable ones, while slices move.

    Loads and capacities are in slots, utilisation is their ratio.
    """

    def __init__(self, view: PlacementView, now: float) -> None:
        self.capacity_by_target = _capacities(view, now)
        self.load_by_target = _loads(view)
        self._total_capacity = sum(self.capacity_by_target.values())
        self._total_load = sum(self.load_by_target.values())
        self._service_utilisation = view.service_utilisation or 0.0

    @property
    def fair_utilisation(self) -> float:
        """Return the utilisation if all load were spread over the usable targets."""
        if not self._total_capacity:
            return 0.0
        return self._total_load / self._total_capacity

    @property
    def reference_utilisation(self) -> float:
        """Return the utilisation above which a target counts as overloaded.

        It is the service's or the group's, whichever is higher: a lightly loaded group
        need not be even in itself, a heavily loaded one can do no better than that.
        """
        return max(self.fair_utilisation, self._service_utilisation)

    def threshold(self, deadband: float) -> float:
        """Return the utilisation up to which rebalancing leaves a target alone."""
        own = self.fair_utilisation
        if not self._service_utilisation:
            return own * (1.0 + deadband)
        wide = self._service_utilisation * (1.0 + deadband)
        return max(wide, own * (1.0 + min(deadband, GROUP_DEADBAND)))

    def utilisation(self, target_id: str, extra: float = 0.0) -> float:
        """Return the target's utilisation with `extra` slots of load more."""
        load = self.load_by_target.get(target_id, 0.0) + extra
        return load / self.capacity_by_target[target_id]

    def overload(self, target_id: str, extra: float = 0.0) -> float:
        """Return the load above the reference, 0 if below it."""
        load = self.load_by_target[target_id] + extra
        return max(0.0, load - self._reference_load(target_id))

    def penalty(self, target_id: str, extra: float = 0.0) -> float:
        """Return the overload times its ratio to the reference, in slots.

        The square makes a small overload nearly free and one high peak worse than
        several low ones, as waiting in a queue does.
        """
        overload = self.overload(target_id, extra)
        if overload <= 0.0:
            return 0.0
        return overload * overload / self._reference_load(target_id)

    def _reference_load(self, target_id: str) -> float:
        """Return the load at which the target has the reference utilisation."""
        return self.reference_utilisation * self.capacity_by_target[target_id]

    def shift(self, source: str | None, destination: str, load: float) -> None:
        """Count the load for the destination and no longer for the source."""
        if source is None:
            self._total_load += load
        else:
            self.load_by_target[source] -= load
        self.load_by_target[destination] += load


def _capacities(view: PlacementView, now: float) -> dict[str, float]:
    """Return the capacity of each usable target."""
    return {
        target_id: target.capacity(now)
        for target_id, target in view.targets_by_id.items()
        if target.state.is_usable
    }


def _loads(view: PlacementView) -> dict[str, float]:
    """Return the load of each target, the larger of its slices' sum and its own."""
    load_by_target = defaultdict(float, dict.fromkeys(view.targets_by_id, 0.0))
    # Written without calls for each slice: this loop is most of a decision's time.
    load_of = view.load_by_slice.get
    for slice_id, assignment in view.slices_by_id.items():
        load_by_target[assignment.target] += load_of(slice_id, 0.0) + IDLE_SLICE_LOAD
    for target_id, load in view.load_by_target.items():
        if load > load_by_target.get(target_id, 0.0):
            load_by_target[target_id] = load
    return load_by_target
