"""What happens to swiftpin's placement in the experiment."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from swiftpin.bench.placement.fleet import Fleet, make_spec
from swiftpin.bench.placement.move_count import MoveCount
from swiftpin.ownership.placement.groups import assign_targets_to_groups
from swiftpin.ownership.placement.planner import plan_moves
from swiftpin.ownership.placement.policy import MoveOnJoin, MoveOnLeave, MoveOnLoss

NO_LIMIT: Final = 10**9


def adapt(fleet: Fleet, now: float) -> MoveCount:
    """Split hot keys, then rebalance, each group once."""
    split = sum_counts(
        fleet.split_hot_keys(group, now) for group in range(fleet.groups)
    )
    return split + rebalance(fleet, now)


def rebalance(fleet: Fleet, now: float) -> MoveCount:
    """Rebalance every group once."""
    return sum_counts(fleet.rebalance(group, now) for group in range(fleet.groups))


def lose(fleet: Fleet, targets: Sequence[str], now: float) -> MoveCount:
    """Lose the targets and move their slices within their groups."""
    fleet.lost |= set(targets)
    hit = [
        group
        for group, members in fleet.members_by_group.items()
        if not members.isdisjoint(targets)
    ]
    return sum_counts(
        fleet.apply(group, plan_moves(fleet.view(group), MoveOnLoss(), now))
        for group in hit
    )


def declare(
    fleet: Fleet, added: int | None, removed: str | None, now: float
) -> MoveCount:
    """Add or remove a target by declaration and make all moves that follow."""
    if added is not None:
        spec = make_spec(added, fleet.options)
        fleet.specs_by_id[spec.id] = spec
    declared = {
        target: spec for target, spec in fleet.specs_by_id.items() if target != removed
    }
    new_members = assign_targets_to_groups(declared, fleet.groups)
    changed = [
        group
        for group, members in new_members.items()
        if members != fleet.members_by_group[group]
    ]
    count = MoveCount()
    for group in changed:
        count += _change_members(fleet, group, new_members[group], now)
    fleet.leaving.clear()
    return count


def sum_counts(counts: Iterable[MoveCount]) -> MoveCount:
    """Return the sum of the counts."""
    total = MoveCount()
    for count in counts:
        total += count
    return total


def _change_members(
    fleet: Fleet, group: int, members: frozenset[str], now: float
) -> MoveCount:
    """Drain the targets that leave the group and fill those that join it."""
    old = fleet.members_by_group[group]
    fleet.members_by_group[group] = old | members
    fleet.leaving = set(old - members)
    count = MoveCount()
    if fleet.leaving:
        moves = plan_moves(fleet.view(group), MoveOnLeave(), now)
        count += fleet.apply(group, moves)
    for target in sorted(members - old):
        policy = MoveOnJoin(target=target, move_limit=NO_LIMIT)
        count += fleet.apply(group, plan_moves(fleet.view(group), policy, now))
    fleet.members_by_group[group] = members
    return count
