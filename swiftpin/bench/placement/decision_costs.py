"""Time and memory of single decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import gc
from statistics import median
import time
import tracemalloc

from swiftpin.bench.placement.fleet import Fleet
from swiftpin.bench.placement.key_loads import make_key_loads
from swiftpin.bench.placement.options import PlacementOptions
from swiftpin.bench.placement.report import DecisionCost
from swiftpin.ownership.placement.groups import assign_targets_to_groups
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.planner import plan_moves
from swiftpin.ownership.placement.policy import (
    MoveOnLoad,
    MoveOnLoss,
    PlacementPolicy,
)


def decision_costs(targets: int, options: PlacementOptions) -> Iterator[DecisionCost]:
    """Yield the costs of decisions for one group and for the service as one group."""
    scopes = (("group", options.group_size), ("service", targets))
    for scope, group_size in scopes:
        fleet = Fleet(options, targets, group_size)
        fleet.set_loads(make_key_loads(targets, 0, options))
        victim = min(fleet.members_by_group[0])
        fleet.lost = {victim}
        loss_view = fleet.view(0)
        fleet.lost = set()
        load_view = fleet.view(0)
        yield _cost(fleet, scope, "loss", loss_view, MoveOnLoss())
        yield _cost(fleet, scope, "load", load_view, MoveOnLoad(move_limit=10**9))
    yield _zone_loss_cost(targets, options)
    yield _group_assignment_cost(targets, options)


def _cost(
    fleet: Fleet,
    scope: str,
    decision: str,
    view: PlacementView,
    policy: PlacementPolicy,
) -> DecisionCost:
    """Return what one decision costs."""

    def decide() -> int:
        return len(plan_moves(view, policy, 0.0))

    return _measured(fleet, scope, decision, len(view.slices_by_id), decide)


def _zone_loss_cost(targets: int, options: PlacementOptions) -> DecisionCost:
    """Return what the loss of a zone costs if one instance decides for every group."""
    fleet = Fleet(options, targets, options.group_size)
    fleet.set_loads(make_key_loads(targets, 0, options))
    fleet.lost = {key for key, spec in fleet.specs_by_id.items() if spec.zone == "z0"}
    views = [fleet.view(group) for group in range(fleet.groups)]

    def decide() -> int:
        return sum(len(plan_moves(view, MoveOnLoss(), 0.0)) for view in views)

    return _measured(fleet, "all groups", "loss of a zone", fleet.slices, decide)


def _group_assignment_cost(targets: int, options: PlacementOptions) -> DecisionCost:
    """Return what the division of the targets into groups costs."""
    fleet = Fleet(options, targets, options.group_size)

    def decide() -> int:
        assign_targets_to_groups(fleet.specs_by_id, fleet.groups)
        return 0

    return _measured(fleet, "service", "targets to groups", fleet.slices, decide)


def _measured(
    fleet: Fleet, scope: str, decision: str, slices: int, decide: Callable[[], int]
) -> DecisionCost:
    """Run the decision, which returns its number of moves, and return the costs."""
    seconds = _seconds(decide, fleet.options.timing_runs)
    return DecisionCost(
        targets=len(fleet.specs_by_id),
        slices=slices,
        scope=scope,
        decision=decision,
        runs=len(seconds),
        seconds_median=median(seconds),
        seconds_max=max(seconds),
        memory_peak=_memory(decide),
        moves=decide(),
    )


def _seconds(decide: Callable[[], object], runs: int) -> list[float]:
    """Return the processor time of each run, in seconds."""
    gc.collect()
    seconds = []
    for _ in range(runs):
        start = time.process_time()
        decide()
        seconds.append(time.process_time() - start)
    return seconds


def _memory(decide: Callable[[], object]) -> int:
    """Return the peak of the memory that the decision allocates, in bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        decide()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
