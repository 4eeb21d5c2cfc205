"""Results of the placement experiment."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.placement.options import PlacementOptions


@dataclass(frozen=True, kw_only=True, slots=True)
class EventRow:
    """What one event did to one system's balance and ownership.

    `key_floor` is the hottest key over the mean target, `group_floor` the best that
    fixed groups allow (None without groups). `keys_moved` is the share of all keys
    that changed owner, `keys_least` the least share possible. `moves` and
    `moves_least` count slices and single keys, `merges` how many of the moves ended
    an exception; None where a system has none.
    """

    targets: int
    load: str
    system: str
    event: str
    peak_to_mean: float
    key_floor: float
    group_floor: float | None
    keys_moved: float
    keys_least: float
    moves: int | None = None
    moves_least: int | None = None
    merges: int | None = None
    splits: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class DecisionCost:
    """Processor time (seconds of one core) and memory (bytes) of one decision.

    `scope` is `group` for one group's decision, `service` for the whole service as a
    single group and `all groups` for the decisions of every group together. Memory is
    the peak of what the decision allocated.
    """

    targets: int
    slices: int
    scope: str
    decision: str
    runs: int
    seconds_median: float
    seconds_max: float
    memory_peak: int
    moves: int


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupSizeRow:
    """What fixed groups of one size cost in balance.

    Floors are for groups that are even in themselves. The loss hits the group with
    the highest load for each target. `exports` is the least number
    of slices or hot keys that would have to change group to bring all groups to the
    goal, before and after the loss of one target.
    """

    targets: int
    group_size: int
    floor: float
    peak_to_mean: float
    floor_after_loss: float
    peak_after_loss: float
    groups_above_goal: int
    exports: int
    exports_after_loss: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementReport:
    """All results of one run."""

    options: PlacementOptions
    events: tuple[EventRow, ...]
    decisions: tuple[DecisionCost, ...]
    group_sizes: tuple[GroupSizeRow, ...]
    seconds: float
