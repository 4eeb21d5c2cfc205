"""Balance of a held group: moves on load, joining targets and hot keys."""

from __future__ import annotations

from typing import Final

from swiftpin.config.profile import Profile
from swiftpin.config.service import Service
from swiftpin.core import callback
from swiftpin.helpers.hashing import slice_of
from swiftpin.ownership.group_lease import GroupLease
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.load_meter import LoadMeter
from swiftpin.ownership.placement.const import DEFAULT_DEADBAND
from swiftpin.ownership.placement.exceptions_planner import (
    SplitPolicy,
    plan_exceptions,
)
from swiftpin.ownership.placement.key_exception import KeyException
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.placement.move_budget import MoveBudget
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.planner import plan_moves
from swiftpin.ownership.placement.policy import MoveOnJoin, MoveOnLoad
from swiftpin.ownership.slice_moves import MOVE_BATCH, SliceMoves

BALANCE_INTERVAL: Final = 5.0
"""Seconds between looks at the load; hot keys change within minutes."""

JOIN_SHARE: Final = 0.5
"""Share of its fair number of slices below which a target counts as joining."""


def overloaded_targets(view: PlacementView) -> frozenset[str]:
    """Return the usable targets whose slots are busier than the group's by far.

    Only their hot keys are worth a slice of their own: a split stops the key's home
    for a moment, and where the load is even nothing would move after it.
    """
    busy_by_target = {name: 0.0 for name in view.targets_by_id if view.is_usable(name)}
    for slice_id, item in view.slices_by_id.items():
        if item.target in busy_by_target:
            busy_by_target[item.target] += view.slice_load(slice_id)
    slots = sum(view.targets_by_id[name].spec.slots for name in busy_by_target)
    if not slots:
        return frozenset()
    mean = sum(busy_by_target.values()) / slots
    return frozenset(
        name
        for name, busy in busy_by_target.items()
        if busy / view.targets_by_id[name].spec.slots > mean * (1 + DEFAULT_DEADBAND)
    )


class SliceBalance:
    """Moves slices within the profile's limit of moves a minute."""

    def __init__(
        self, env: HolderEnvironment, lease: GroupLease, moves: SliceMoves, now: float
    ) -> None:
        self.meter = LoadMeter(now)
        self._env = env
        self._lease = lease
        self._moves = moves
        self._budget: MoveBudget | None = None
        self._budget_limit = 0
        self._looked_at = now

    async def async_balance(self, now: float) -> None:
        """Look at the load from time to time and act on it."""
        if now - self._looked_at < BALANCE_INTERVAL or self._lease.store_is_away(now):
            return
        self._looked_at = now
        service = self._env.service_of(self._lease.id.service)
        if service is None:
            return
        profile = self._env.profile_of(service)
        view = self._moves.view(now, self.meter.load_by_slice(now))
        if view is None or await self._async_split(service, view, now):
            return
        budget = self._budget_of(profile)
        moves = self._plan(view, profile, budget.available(now), now)[:MOVE_BATCH]
        if not moves:
            return
        budget.spend(len(moves), now)
        await self._moves.async_move(moves, f"balance: {moves[0].reason}")

    async def _async_split(
        self, service: Service, view: PlacementView, now: float
    ) -> bool:
        """Give the hottest key a slice of its own; return whether one was split."""
        plan = plan_exceptions(
            view,
            self._lease.record.exceptions_by_key,
            self.meter.hot_keys(now),
            SplitPolicy(slices=service.slices, groups=service.groups),
            lambda key: slice_of(service.name, key, service.slices),
            now,
        )
        owners_by_slice = view.slices_by_id
        overloaded = overloaded_targets(view)
        for split in plan.splits:
            if owners_by_slice[split.home].target in overloaded:
                await self._moves.async_split(split)
                return True
        idle = self._idle_merges(plan.merges)
        if idle:
            await self._moves.async_merge(idle[0])
            return True
        return False

    @callback
    def _idle_merges(self, merges: tuple[KeyException, ...]) -> list[KeyException]:
        """Return exceptions that can be merged without moving the key."""
        slices_by_id = self._lease.record.slices_by_id
        return [
            item
            for item in merges
            if slices_by_id[item.slice_id].target == slices_by_id[item.home].target
        ]

    @callback
    def _plan(
        self, view: PlacementView, profile: Profile, limit: int, now: float
    ) -> list[Move]:
        """Return the moves worth their cost, for joining targets first."""
        if not limit:
            return []
        for target in self._joining(view):
            policy = MoveOnJoin(
                target=target, move_limit=limit, weights=profile.weights
            )
            moves = plan_moves(view, policy, now)
            if moves:
                return moves
        return plan_moves(
            view, MoveOnLoad(move_limit=limit, weights=profile.weights), now
        )

    @callback
    def _joining(self, view: PlacementView) -> list[str]:
        """Return usable targets with far fewer slices than their share."""
        counts = dict.fromkeys(view.targets_by_id, 0)
        for item in view.slices_by_id.values():
            if item.target in counts:
                counts[item.target] += 1
        usable = [name for name in counts if view.is_usable(name)]
        if not usable:
            return []
        fair = len(view.slices_by_id) / len(usable)
        return [name for name in usable if counts[name] < fair * JOIN_SHARE]

    @callback
    def _budget_of(self, profile: Profile) -> MoveBudget:
        """Return the budget under the profile in force."""
        if self._budget is None or self._budget_limit != profile.moves_per_minute:
            self._budget = MoveBudget(profile.moves_per_minute)
            self._budget_limit = profile.moves_per_minute
        return self._budget
