"""Choice of the instances that get news and of those that watch the store."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Final

from xxhash import xxh3_64_intdigest

from swiftpin.membership.instance_info import InstanceInfo

_CANDIDATES: Final = 8
"""Instances looked at for each neighbour, so that a long list costs little."""


def choose_neighbours(
    random: Random,
    zone: str,
    infos_by_name: Mapping[str, InstanceInfo],
    count: int,
) -> list[str]:
    """Return the names of some of the instances, chosen by chance.

    All but one are in other availability zones where there are enough, each in
    another one as far as possible; the last may be anywhere.
    """
    candidates = min(len(infos_by_name), count * _CANDIDATES)
    names = random.sample(list(infos_by_name), candidates)
    chosen = _one_a_zone(names, zone, infos_by_name)[: max(0, count - 1)]
    rest = [name for name in names if name not in chosen]
    return chosen + rest[: count - len(chosen)]


def _one_a_zone(
    names: list[str], zone: str, infos_by_name: Mapping[str, InstanceInfo]
) -> list[str]:
    """Return the first name of each availability zone but the own one."""
    names_by_zone: dict[str, str] = {}
    for name in names:
        names_by_zone.setdefault(infos_by_name[name].zone, name)
    names_by_zone.pop(zone, None)
    return list(names_by_zone.values())


def choose_watchers(
    zone: str, infos_by_name: Mapping[str, InstanceInfo], count: int
) -> frozenset[str]:
    """Return the names of the instances of a zone that watch the store.

    Rendezvous hashing: each instance that goes is replaced by one other, and the
    others stay as they are. A zone whose instances are all leaving keeps its own.
    """
    members = [info for info in infos_by_name.values() if info.zone == zone]
    staying = [info for info in members if not info.leaving] or members
    ranked = sorted(staying, key=lambda info: xxh3_64_intdigest(info.name))
    return frozenset(info.name for info in ranked[:count])
