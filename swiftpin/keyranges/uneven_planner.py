"""Planning of moves for a service with uneven demand on its keys."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from functools import partial

from swiftpin.core import callback
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.expected_wait import ExpectedWaits
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.move_history import MoveHistory
from swiftpin.keyranges.plan_by_wait import PlacementBasis, plan_by_wait
from swiftpin.keyranges.plan_fastest_targets import HotKeyBasis, plan_fastest_targets
from swiftpin.keyranges.planner import MovePlanners, plan_moves
from swiftpin.keyranges.target_share import TargetShare
from swiftpin.keyranges.target_speed import CapacityBounds


class UnevenPlanner:
    """Plans moves by the expected wait of callers, and reverses none of them."""

    def __init__(self, get_objective: Callable[[], float]) -> None:
        self._get_objective = get_objective
        """Returns the seconds within which callers should have the answer."""

        self._history = MoveHistory()

    @callback
    def plan(
        self,
        assignment: Assignment,
        capacities_by_target: Mapping[str, float],
        seconds_by_target: Mapping[str, float],
        rates_by_key: Mapping[int, float],
        bounds_by_target: Mapping[str, CapacityBounds],
        *,
        limited_targets: Collection[str] = (),
        restricted_targets: Collection[str] = (),
        now: float,
    ) -> list[Move]:
        """Return the moves of one plan.

        `seconds_by_target` holds the mean time of a request at each target; the other
        arguments are those of `plan_moves`. Targets in `restricted_targets`, whose
        capacity is reduced for a while, get no hot keys.
        """
        self._history.prune(now)
        waits = ExpectedWaits(seconds_by_target=seconds_by_target)

        def plan_balance(
            projected: Assignment, shares: dict[str, TargetShare], max_moves: int
        ) -> list[Move]:
            basis = PlacementBasis(
                assignment=projected,
                rates_by_key=rates_by_key,
                waits=waits,
                history=self._history,
                objective=self._get_objective(),
            )
            return plan_by_wait(basis, shares, max_moves)

        hot_key_basis = HotKeyBasis(
            rates_by_key=rates_by_key,
            bounds_by_target=bounds_by_target,
            seconds_by_target=seconds_by_target,
            restricted_targets=restricted_targets,
            history=self._history,
        )
        moves = plan_moves(
            assignment,
            capacities_by_target,
            rates_by_key,
            bounds_by_target,
            limited_targets=limited_targets,
            planners=MovePlanners(
                plan_hot_keys=partial(plan_fastest_targets, hot_key_basis),
                plan_balance=plan_balance,
                is_allowed_merge=lambda move: not self._history.is_reversal(move),
            ),
        )
        self._history.record(moves, rates_by_key, seconds_by_target, now)
        return moves
