"""Decides which hot keys get a slice of their own."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import count
from typing import Final

from swiftpin.ownership.placement.exception_plan import ExceptionPlan
from swiftpin.ownership.placement.hot_key import HotKey
from swiftpin.ownership.placement.key_exception import KeyException
from swiftpin.ownership.placement.load_table import LoadTable
from swiftpin.ownership.placement.placement_view import PlacementView

# Shares of a target's fair load. A slice is about 2% of it, so a key of 5% is more than
# its slice can hide; the distance to the lower bound keeps a key from flapping.
DEFAULT_SPLIT_SHARE: Final = 0.05
DEFAULT_MERGE_SHARE: Final = 0.02
DEFAULT_EXCEPTION_LIMIT: Final = 64
DEFAULT_EXCEPTIONS_KEPT: Final = 32


@dataclass(frozen=True, kw_only=True, slots=True)
class SplitPolicy:
    """When a key is split out and when it is merged back.

    `slices` and `groups` are the service's numbers. A key at or above `split_share` of
    a target's fair load is split out, an exception below `merge_share` merged. A merge
    that moves its key waits until the group has more than `kept` exceptions; a group
    has `limit` at most.
    """

    slices: int
    groups: int
    split_share: float = DEFAULT_SPLIT_SHARE
    merge_share: float = DEFAULT_MERGE_SHARE
    kept: int = DEFAULT_EXCEPTIONS_KEPT
    limit: int = DEFAULT_EXCEPTION_LIMIT


def plan_exceptions(
    view: PlacementView,
    exceptions_by_key: Mapping[str, KeyException],
    hot_keys: Sequence[HotKey],
    policy: SplitPolicy,
    slice_of_key: Callable[[str], int],
    now: float,
) -> ExceptionPlan:
    """Return the splits, hottest first, and the merges.

    `hot_keys` are of this group, hottest first. An exception whose key is not among
    them counts with the load of its slice.
    """
    share = _mean_share(view, now)
    load_by_key = {hot.key: hot.load for hot in hot_keys}
    load_by_key |= {
        key: view.slice_load(item.slice_id)
        for key, item in exceptions_by_key.items()
        if key not in load_by_key
    }
    cold = [
        item
        for key, item in exceptions_by_key.items()
        if load_by_key[key] < policy.merge_share * share
    ]
    cold.sort(key=lambda item: (load_by_key[item.key], item.key))
    merges = _merges(view, cold, len(exceptions_by_key) - policy.kept)
    room = policy.limit - len(exceptions_by_key) + len(merges)
    wanted = [
        hot.key
        for hot in hot_keys
        if hot.load >= policy.split_share * share and hot.key not in exceptions_by_key
    ][: max(room, 0)]
    slice_ids = _free_slices(view, exceptions_by_key, policy)
    splits = tuple(
        KeyException(key=key, slice_id=next(slice_ids), home=slice_of_key(key))
        for key in wanted
    )
    return ExceptionPlan(splits=splits, merges=merges)


def _merges(
    view: PlacementView, cold: list[KeyException], excess: int
) -> tuple[KeyException, ...]:
    """Return the cold exceptions to merge: those at home, then `excess` in all."""
    at_home = [item for item in cold if _is_at_home(view, item)]
    away = [item for item in cold if not _is_at_home(view, item)]
    return (*at_home, *away[: max(excess - len(at_home), 0)])


def _is_at_home(view: PlacementView, item: KeyException) -> bool:
    """Return whether the key's owner also owns its home, so that a merge is free."""
    own = view.slices_by_id.get(item.slice_id)
    home = view.slices_by_id.get(item.home)
    return own is None or home is None or own.target == home.target


def _mean_share(view: PlacementView, now: float) -> float:
    """Return the fair load of a mean target, in slots."""
    table = LoadTable(view, now)
    targets = len(table.capacity_by_target)
    if not targets:
        return float("inf")
    capacity = sum(table.capacity_by_target.values())
    return table.fair_utilisation * capacity / targets


def _free_slices(
    view: PlacementView,
    exceptions_by_key: Mapping[str, KeyException],
    policy: SplitPolicy,
) -> Iterator[int]:
    """Yield slice ids of the group above the declared ones that nothing uses."""
    used = {item.slice_id for item in exceptions_by_key.values()}
    first = policy.slices + (view.group.group - policy.slices) % policy.groups
    for slice_id in count(first, policy.groups):
        if slice_id not in used and slice_id not in view.slices_by_id:
            yield slice_id
