"""What fixed groups of different sizes cost in balance."""

from __future__ import annotations

from collections.abc import Iterator

from swiftpin.bench.placement.balance import (
    GOAL,
    group_floor,
    peak_to_mean,
    summed,
    units_above,
)
from swiftpin.bench.placement.fleet import Fleet
from swiftpin.bench.placement.fleet_events import adapt, lose, rebalance
from swiftpin.bench.placement.key_loads import make_key_loads
from swiftpin.bench.placement.options import PlacementOptions
from swiftpin.bench.placement.report import GroupSizeRow


def group_size_rows(options: PlacementOptions) -> Iterator[GroupSizeRow]:
    """Yield a row for each group size of the sweep."""
    loads = make_key_loads(options.sweep_targets, 0, options)
    for group_size in options.sweep_group_sizes:
        fleet = Fleet(options, options.sweep_targets, group_size)
        fleet.set_loads(loads)
        adapt(fleet, 0.0)
        floor, peak = _floor(fleet), _peak(fleet)
        above, exports = _above_goal(fleet)
        lose(fleet, [_victim(fleet)], 0.0)
        rebalance(fleet, 0.0)
        yield GroupSizeRow(
            targets=options.sweep_targets,
            group_size=group_size,
            floor=floor,
            peak_to_mean=peak,
            floor_after_loss=_floor(fleet),
            peak_after_loss=_peak(fleet),
            groups_above_goal=above,
            exports=exports,
            exports_after_loss=_above_goal(fleet)[1],
        )


def _victim(fleet: Fleet) -> str:
    """Return a target of the group with the highest load for each target."""
    loads_by_group = fleet.unit_loads_by_group()
    members = fleet.members_by_group
    worst = max(
        members, key=lambda item: sum(loads_by_group[item]) / len(members[item])
    )
    return min(members[worst])


def _live_by_group(fleet: Fleet) -> dict[int, int]:
    """Return the number of targets of each group that serve."""
    return {
        group: len(members - fleet.lost)
        for group, members in fleet.members_by_group.items()
    }


def _floor(fleet: Fleet) -> float:
    """Return the best peak over mean that the groups allow."""
    return group_floor(fleet.unit_loads_by_group(), _live_by_group(fleet))


def _peak(fleet: Fleet) -> float:
    """Return the peak over mean as it is."""
    return peak_to_mean(summed(fleet.unit_loads_by_target()))


def _above_goal(fleet: Fleet) -> tuple[int, int]:
    """Return how many groups are above the goal and the least exports that mend it."""
    loads_by_group = fleet.unit_loads_by_group()
    live = _live_by_group(fleet)
    total = sum(sum(loads) for loads in loads_by_group.values())
    limit = GOAL * total / sum(live.values())
    excess_by_group = {
        group: sum(loads) - limit * live[group]
        for group, loads in loads_by_group.items()
    }
    above = [group for group, excess in excess_by_group.items() if excess > 0.0]
    exports = sum(
        units_above(loads_by_group[group], excess_by_group[group]) for group in above
    )
    return len(above), exports
