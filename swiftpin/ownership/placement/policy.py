"""Policies: the occasions on which placement decides."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.config.measure_weights import MeasureWeights
from swiftpin.ownership.placement.const import (
    DEFAULT_DEADBAND,
    DEFAULT_HORIZON,
    DEFAULT_JOIN_HORIZON,
    DEFAULT_KEY_MOVE_COST,
    DEFAULT_MOVE_PAUSE,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveCosts:
    """What a move costs.

    `key_move_cost` is in slot-seconds an active key, `move_pause` the seconds in
    which nobody serves a moving slice.
    """

    key_move_cost: float = DEFAULT_KEY_MOVE_COST
    move_pause: float = DEFAULT_MOVE_PAUSE


@dataclass(frozen=True, kw_only=True, slots=True)
class InitialSpread:
    """Give owners to slices that have none; `slice_ids` are all of the group."""

    slice_ids: frozenset[int]
    weights: MeasureWeights = field(default_factory=MeasureWeights)
    costs: MoveCosts = field(default_factory=MoveCosts)


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveOnLoss:
    """Move the slices of lost or undeclared targets; no limit, since nobody serves."""

    weights: MeasureWeights = field(default_factory=MeasureWeights)
    costs: MoveCosts = field(default_factory=MoveCosts)


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveOnLeave:
    """Move all slices of leaving targets, so that they can drain."""

    weights: MeasureWeights = field(default_factory=MeasureWeights)
    costs: MoveCosts = field(default_factory=MoveCosts)


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveOnJoin:
    """Bring `target` towards its share with `move_limit` moves at most.

    `horizon` is how many seconds a new target is expected to stay.
    """

    target: str
    move_limit: int
    horizon: float = DEFAULT_JOIN_HORIZON
    weights: MeasureWeights = field(default_factory=MeasureWeights)
    costs: MoveCosts = field(default_factory=MoveCosts)


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveOnLoad:
    """Even out load where the gain over `horizon` seconds outweighs the moves.

    `move_limit` is how many moves the budget still allows. Targets at most
    `deadband` (ratio) above the mean of the service are left alone.
    """

    move_limit: int
    horizon: float = DEFAULT_HORIZON
    deadband: float = DEFAULT_DEADBAND
    weights: MeasureWeights = field(default_factory=MeasureWeights)
    costs: MoveCosts = field(default_factory=MoveCosts)


PlacementPolicy = InitialSpread | MoveOnLoss | MoveOnLeave | MoveOnJoin | MoveOnLoad
