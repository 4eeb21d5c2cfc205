"""Which targets belong to which group."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.placement.matching import match_targets


def assign_targets_to_groups(
    targets_by_id: Mapping[str, TargetSpec], groups: int
) -> dict[int, frozenset[str]]:
    """Return the targets of each group, 0 to `groups` - 1.

    Only the declaration counts, not earlier answers. Group sizes differ by at most
    one; a group's targets are spread over the availability zones as far as the
    declaration allows. Adding or removing a target moves few others.
    """
    if groups < 1:
        raise ValueError(f"a service needs at least one group, not {groups}")
    waiting = _targets_by_zone(targets_by_id)
    room_by_zone = _room_by_zone(len(targets_by_id), groups, sorted(waiting))
    group_by_target: dict[str, int] = {}
    for zone, rounds in room_by_zone.items():
        for room_by_group in rounds:
            matched = match_targets(waiting[zone], groups, room_by_group)
            waiting[zone] -= matched.keys()
            group_by_target |= matched
    rest = set[str]().union(*waiting.values())
    room_left = _room_left(room_by_zone)
    group_by_target |= match_targets(rest, groups, room_left)
    return _targets_by_group(group_by_target, groups)


def _targets_by_zone(targets_by_id: Mapping[str, TargetSpec]) -> dict[str, set[str]]:
    """Return the ids of the targets of each availability zone."""
    ids_by_zone: dict[str, set[str]] = {}
    for target_id, spec in targets_by_id.items():
        ids_by_zone.setdefault(spec.zone, set()).add(target_id)
    return ids_by_zone


def _room_by_zone(
    targets: int, groups: int, zones: list[str]
) -> dict[str, list[dict[int, int]]]:
    """Return the places meant for each zone, in two rounds, as room by group.

    Place p of group g is meant for zone g + p, so that consecutive places of a group
    are of different zones. The first round holds the first place of each zone in
    each group: a zone with few targets serves every group once before any twice.
    """
    room_by_zone: dict[str, list[dict[int, int]]] = {zone: [{}, {}] for zone in zones}
    for index in range(targets):
        place, group = divmod(index, groups)
        zone = zones[(group + place) % len(zones)]
        room_by_group = room_by_zone[zone][min(place // len(zones), 1)]
        room_by_group[group] = room_by_group.get(group, 0) + 1
    return room_by_zone


def _room_left(room_by_zone: dict[str, list[dict[int, int]]]) -> dict[int, int]:
    """Return the places that no target of their zone took."""
    room_by_group: Counter[int] = Counter()
    for rounds in room_by_zone.values():
        for room in rounds:
            room_by_group.update(room)
    return dict(room_by_group)


def _targets_by_group(
    group_by_target: Mapping[str, int], groups: int
) -> dict[int, frozenset[str]]:
    """Return the ids of the targets of each group, also of empty ones."""
    ids_by_group: dict[int, set[str]] = {group: set() for group in range(groups)}
    for target_id, group in group_by_target.items():
        ids_by_group[group].add(target_id)
    return {group: frozenset(ids) for group, ids in ids_by_group.items()}
