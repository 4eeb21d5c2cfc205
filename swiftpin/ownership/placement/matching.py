"""Stable matching of targets to groups by hash.

All pairs of a target and a group are ordered by a hash and taken greedily. Adding or
removing one target then moves only a short chain of others, about log(groups) / 2,
which ordering by name or position on a ring does not give (docs/design/placement.md).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from swiftpin.ownership.placement.hashing import tie_hash

# Pairs tried for each target before the exact pass over what is left. A multiple of
# the logarithm of the number of groups; 32 leaves about 3% to the exact pass.
CANDIDATES: Final = 32
_LOW_BITS: Final = 32

_Edge = tuple[int, str, int]


def match_targets(
    targets: Iterable[str], groups: int, room_by_group: dict[int, int]
) -> dict[str, int]:
    """Return the group of each target that found room.

    `groups` is the number of groups there are, `room_by_group` how many targets
    each may still take; it is reduced in place.
    """
    waiting = sorted(targets)
    group_by_target: dict[str, int] = {}
    edges = _candidate_edges(waiting, groups, room_by_group)
    _take_edges(edges, room_by_group, group_by_target)
    waiting = [target for target in waiting if target not in group_by_target]
    open_groups = [group for group, room in room_by_group.items() if room > 0]
    edges = _all_edges(waiting, open_groups)
    _take_edges(edges, room_by_group, group_by_target)
    return group_by_target


def _candidate_edges(
    targets: list[str], groups: int, room_by_group: dict[int, int]
) -> list[_Edge]:
    """Return a fixed number of hashed pairs for each target, best first."""
    # The number of the candidate is part of the hashed text. As a seed it would make
    # hashes of short names collide (t10 with seed 3, t11 with seed 2), which shows as
    # targets that always compete for the same groups.
    suffixes = [f"\0{number}" for number in range(CANDIDATES)]
    edges: list[_Edge] = []
    for target in targets:
        for suffix in suffixes:
            digest = xxh3_64_intdigest(target + suffix)
            group = (digest >> _LOW_BITS) % groups
            if room_by_group.get(group, 0) > 0:
                edges.append((digest & 0xFFFFFFFF, target, group))
    edges.sort()
    return edges


def _all_edges(targets: list[str], groups: list[int]) -> list[_Edge]:
    """Return every pair of the targets and groups, best first."""
    return sorted(
        (tie_hash("pair", target, group), target, group)
        for target in targets
        for group in groups
    )


def _take_edges(
    edges: list[_Edge], room_by_group: dict[int, int], group_by_target: dict[str, int]
) -> None:
    """Take each pair whose target is free and whose group has room."""
    for _, target, group in edges:
        if target in group_by_target or room_by_group[group] <= 0:
            continue
        group_by_target[target] = group
        room_by_group[group] -= 1
