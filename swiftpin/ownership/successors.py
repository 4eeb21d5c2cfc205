"""Choice of instances for leases."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from xxhash import xxh3_64_intdigest

from swiftpin.membership.instance_id import name_of
from swiftpin.membership.instance_info import InstanceInfo
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord


def rank_instances(group: GroupId, names: Iterable[str]) -> list[str]:
    """Return the names in the order in which they may act for the group.

    Every instance that knows the same names gets the same order, and a name that goes
    does not change the order of the others.
    """
    return sorted(
        names,
        key=lambda name: (
            xxh3_64_intdigest(f"{group.service}/{group.group}/{name}"),
            name,
        ),
    )


def roles_by_name(records: Iterable[GroupRecord]) -> dict[str, int]:
    """Return how many leases each instance holds or is to take over."""
    roles: dict[str, int] = {}
    for record in records:
        for instance_id in (record.holder, record.successor):
            if instance_id is not None:
                name = name_of(instance_id)
                roles[name] = roles.get(name, 0) + 1
    return roles


def choose_successor(
    group: GroupId,
    candidates_by_name: Mapping[str, InstanceInfo],
    *,
    holder_zone: str,
    roles: Mapping[str, int],
) -> str | None:
    """Return the name of the best successor, None when there is no candidate.

    Another availability zone goes first, so that one zone's loss does not take holder
    and successor; then the instance with the fewest roles.
    """
    order = rank_instances(group, candidates_by_name)
    if not order:
        return None
    return min(
        order,
        key=lambda name: (
            candidates_by_name[name].zone == holder_zone,
            roles.get(name, 0),
            order.index(name),
        ),
    )
