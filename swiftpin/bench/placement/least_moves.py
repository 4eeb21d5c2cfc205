"""A lower bound of the moves that mend an imbalance."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Final

from swiftpin.bench.placement.balance import GOAL, units_above

# How near its own mean a group that is itself above the goal can reasonably be asked
# to come, as a ratio.
_GROUP_GOAL: Final = 1.03


def least_moves(units_by_target: Mapping[str, Sequence[float]], mean: float) -> int:
    """Return how many moves one group needs at least, wherever they may go in it.

    `mean` is the mean target load of the service. Each target above the goal has to
    give away units (slices or single keys) worth its excess. A unit that fits no
    other target also costs the moves that make room for it. What several targets
    do to each other is left out, so fewer moves are certainly not enough. A target
    with a single key above the goal can't be mended and asks for nothing.
    """
    load_by_target = {target: sum(units) for target, units in units_by_target.items()}
    own_mean = sum(load_by_target.values()) / len(load_by_target)
    limit = max(GOAL * mean, _GROUP_GOAL * own_mean)
    return sum(
        _least_of(target, load - limit, units_by_target, load_by_target, limit)
        for target, load in load_by_target.items()
        if load > limit >= max(units_by_target[target])
    )


def _least_of(
    target: str,
    excess: float,
    units_by_target: Mapping[str, Sequence[float]],
    load_by_target: Mapping[str, float],
    limit: float,
) -> int:
    """Return the least moves by which one target gives away its excess."""
    others = [other for other in units_by_target if other != target]
    rooms = {other: limit - load_by_target[other] for other in others}
    widest = max(rooms.values(), default=0.0)
    costs = [
        1 if unit <= widest else 1 + _cheapest_room(units_by_target, rooms, unit)
        for unit in units_by_target[target]
    ]
    return _cover(units_by_target[target], costs, excess)


def _cheapest_room(
    units_by_target: Mapping[str, Sequence[float]],
    rooms: Mapping[str, float],
    wanted: float,
) -> int:
    """Return how many units some target must give away to take the wanted load."""
    return min(
        (_made_room(units_by_target[other], rooms[other], wanted) for other in rooms),
        default=0,
    )


def _made_room(units: Sequence[float], room: float, wanted: float) -> int:
    """Return how many units a target gives away to take one of the wanted load."""
    if wanted <= room:
        return 0
    return units_above(units, wanted - room) - units_above(units, -room)


def _cover(units: Sequence[float], costs: Sequence[int], excess: float) -> int:
    """Return the least cost of units that together make up the excess."""
    bound = sum(costs)
    best = [0.0] + [float("-inf")] * bound
    for unit, cost in zip(units, costs, strict=True):
        for total in range(bound, cost - 1, -1):
            best[total] = max(best[total], best[total - cost] + unit)
    return next(
        (total for total, load in enumerate(best) if load >= excess - 1e-9),
        bound,
    )
