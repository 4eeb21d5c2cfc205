"""A service whose placement swiftpin decides, without any process."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
import random

from swiftpin.bench.placement.key_loads import KeyLoads
from swiftpin.bench.placement.move_count import MoveCount
from swiftpin.bench.placement.options import PlacementOptions
from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.placement.exceptions_planner import (
    SplitPolicy,
    plan_exceptions,
)
from swiftpin.ownership.placement.groups import assign_targets_to_groups
from swiftpin.ownership.placement.hot_key import HotKey
from swiftpin.ownership.placement.initial import initial_assignment
from swiftpin.ownership.placement.key_exception import KeyException
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.planner import plan_moves
from swiftpin.ownership.placement.policy import MoveOnLoad
from swiftpin.ownership.placement.target_state import TargetState
from swiftpin.ownership.placement.target_view import TargetView
from swiftpin.ownership.slice_assignment import SliceAssignment

SERVICE = "desk"


def make_spec(number: int, options: PlacementOptions) -> TargetSpec:
    """Return the target of that number."""
    return TargetSpec(
        id=f"t{number}",
        address=f"127.0.0.1:{number % 60_000 + 1_024}",
        zone=f"z{number % options.zones}",
        slots=options.slots,
    )


class Fleet:
    """Groups, owners, exceptions and the true load of one service."""

    def __init__(
        self, options: PlacementOptions, targets: int, group_size: int
    ) -> None:
        self.options = options
        self.specs_by_id = {
            spec.id: spec for spec in (make_spec(i, options) for i in range(targets))
        }
        self.groups = max(targets // group_size, 1)
        self.slices = targets * options.slices_per_target
        self.members_by_group = assign_targets_to_groups(self.specs_by_id, self.groups)
        self.owners_by_group = {
            group: initial_assignment(
                GroupId(service=SERVICE, group=group),
                self.slices,
                self.groups,
                {target: self.specs_by_id[target] for target in members},
            )
            for group, members in self.members_by_group.items()
        }
        self.exceptions_by_group: dict[int, dict[str, KeyException]] = {
            group: {} for group in range(self.groups)
        }
        self.lost: set[str] = set()
        self.leaving: set[str] = set()
        self._loads_by_group: dict[int, dict[int, float]] = {}
        self._hot_keys_by_group: dict[int, list[HotKey]] = {}
        self._home_by_key: dict[str, int] = {}
        self._total_load = 0.0
        self._rng = random.Random(options.seed)

    @property
    def _capacity(self) -> int:
        """Return the slots of all targets that serve."""
        return self.options.slots * (len(self.specs_by_id) - len(self.lost))

    def copy(self) -> Fleet:
        """Return a fleet that can be changed without changing this one."""
        other = object.__new__(Fleet)
        other.__dict__.update(self.__dict__)
        other.specs_by_id = dict(self.specs_by_id)
        other.members_by_group = dict(self.members_by_group)
        other.owners_by_group = {k: dict(v) for k, v in self.owners_by_group.items()}
        other.exceptions_by_group = {
            k: dict(v) for k, v in self.exceptions_by_group.items()
        }
        other.lost = set(self.lost)
        other.leaving = set(self.leaving)
        other._rng = random.Random(self.options.seed)
        return other

    def set_loads(self, loads: KeyLoads) -> None:
        """Take the loads as the true ones from now on."""
        share = loads.tail / self.slices
        load_by_slice = [share] * self.slices
        exception_by_key = {
            key: item
            for exceptions in self.exceptions_by_group.values()
            for key, item in exceptions.items()
        }
        exception_loads = {item.slice_id: 0.0 for item in exception_by_key.values()}
        self._hot_keys_by_group = {group: [] for group in range(self.groups)}
        self._home_by_key = {}
        self._total_load = loads.total
        threshold = 0.01 * self.options.target_load
        for key_hash, load in zip(loads.hashes, loads.loads, strict=True):
            home = key_hash % self.slices
            if load < threshold:
                load_by_slice[home] += load
                continue
            key = str(key_hash)
            hot = HotKey(key=key, load=load, load_at_most=load)
            self._hot_keys_by_group[home % self.groups].append(hot)
            self._home_by_key[key] = home
            if key in exception_by_key:
                exception_loads[exception_by_key[key].slice_id] = load
            else:
                load_by_slice[home] += load
        self._loads_by_group = {
            group: dict(
                zip(
                    range(group, self.slices, self.groups),
                    load_by_slice[group :: self.groups],
                    strict=True,
                )
            )
            for group in range(self.groups)
        }
        for slice_id, load in exception_loads.items():
            self._loads_by_group[slice_id % self.groups][slice_id] = load

    def view(self, group: int, *, noisy: bool = True) -> PlacementView:
        """Return what the holder of the group sees; loads are measured with noise."""
        loads: Mapping[int, float] = self._loads_by_group[group]
        if noisy and self.options.noise:
            gauss = self._rng.gauss
            noise = self.options.noise
            loads = {key: load * gauss(1.0, noise) for key, load in loads.items()}
        exceptions = self.exceptions_by_group[group].values()
        return PlacementView(
            group=GroupId(service=SERVICE, group=group),
            slices_by_id=self.owners_by_group[group],
            targets_by_id={
                target: TargetView(
                    spec=self.specs_by_id[target], state=self._state(target)
                )
                for target in self.members_by_group[group]
            },
            load_by_slice=loads,
            active_keys_by_slice={item.slice_id: 1 for item in exceptions},
            service_utilisation=self._total_load / self._capacity,
        )

    def split_hot_keys(self, group: int, now: float) -> MoveCount:
        """Split and merge exceptions of the group as decided; return what moved."""
        plan = plan_exceptions(
            self.view(group),
            self.exceptions_by_group[group],
            self._hot_keys_by_group[group],
            SplitPolicy(slices=self.slices, groups=self.groups),
            self._home_by_key.__getitem__,
            now,
        )
        moved = sum(self._merge(group, item) for item in plan.merges)
        for item in plan.splits:
            self._split(group, item)
        return MoveCount(merges=moved, splits=len(plan.splits))

    def rebalance(self, group: int, now: float, move_limit: int = 10**9) -> MoveCount:
        """Decide and make the moves on load of one group."""
        policy = MoveOnLoad(move_limit=move_limit)
        return self.apply(group, plan_moves(self.view(group), policy, now))

    def apply(self, group: int, moves: Iterable[Move]) -> MoveCount:
        """Make the moves in the group's record."""
        owners = self.owners_by_group[group]
        slices = keys = 0
        for move in moves:
            before = owners[move.slice_id]
            owners[move.slice_id] = SliceAssignment(
                target=move.destination, term=before.term + 1, standby=move.standby
            )
            if move.slice_id < self.slices:
                slices += 1
            else:
                keys += 1
        return MoveCount(slices=slices, keys=keys)

    def unit_loads_by_target(self) -> dict[str, list[float]]:
        """Return the true loads of what each live target owns, slice by slice."""
        loads: dict[str, list[float]] = {
            target: []
            for members in self.members_by_group.values()
            for target in members
            if target not in self.lost
        }
        for group, owners in self.owners_by_group.items():
            load_by_slice = self._loads_by_group[group]
            for slice_id, assignment in owners.items():
                owned = loads.setdefault(assignment.target, [])
                owned.append(load_by_slice[slice_id])
        return loads

    def unit_loads_by_group(self) -> dict[int, list[float]]:
        """Return the true loads of each group's slices."""
        return {
            group: [loads[slice_id] for slice_id in self.owners_by_group[group]]
            for group, loads in self._loads_by_group.items()
        }

    def _state(self, target: str) -> TargetState:
        """Return the state of the target."""
        if target in self.lost:
            return TargetState.LOST
        return TargetState.LEAVING if target in self.leaving else TargetState.LIVE

    def _split(self, group: int, item: KeyException) -> None:
        """Give the key a slice of its own at the owner of its home."""
        loads = self._loads_by_group[group]
        load = next(
            hot.load for hot in self._hot_keys_by_group[group] if hot.key == item.key
        )
        loads[item.home] -= load
        loads[item.slice_id] = load
        owners = self.owners_by_group[group]
        owners[item.slice_id] = replace(owners[item.home], term=1)
        self.exceptions_by_group[group][item.key] = item

    def _merge(self, group: int, item: KeyException) -> int:
        """Put the key back into its home; return how many keys moved for it."""
        loads = self._loads_by_group[group]
        loads[item.home] += loads.pop(item.slice_id)
        owners = self.owners_by_group[group]
        assignment = owners.pop(item.slice_id)
        del self.exceptions_by_group[group][item.key]
        return int(assignment.target != owners[item.home].target)
