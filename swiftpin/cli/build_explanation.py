"""Derivation of a key's owner from declarations and the group's record."""

from __future__ import annotations

from swiftpin.cli.explanation import Explanation
from swiftpin.config.profile import Profile
from swiftpin.config.request_class import RequestClass
from swiftpin.config.service import Service
from swiftpin.helpers.hashing import slice_of
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord


def group_of(service: Service, key: str) -> GroupId:
    """Return the group of a key of a keyed service."""
    slice_id = slice_of(service.name, key, service.slices)
    return GroupId(service=service.name, group=slice_id % service.groups)


def explain_unkeyed(
    service: Service, profile: Profile, request_class: RequestClass, key: str
) -> Explanation:
    """Return the explanation for a service that has no owners."""
    return Explanation(
        service=service.name,
        key=key,
        profile=profile.name,
        request_class=request_class.name,
        repeatable=request_class.repeatable,
        why=(
            f"service {service.name} is not keyed: any of its "
            f"{len(service.targets_by_id)} targets may serve the request",
        ),
    )


def explain_keyed(
    service: Service,
    profile: Profile,
    request_class: RequestClass,
    key: str,
    record: GroupRecord | None,
) -> Explanation:
    """Return the explanation for a key; `record` is that of the key's group."""
    home = slice_of(service.name, key, service.slices)
    slice_id = home if record is None else record.slice_of_key(key, home)
    group = group_of(service, key).group
    assignment = None if record is None else record.slices_by_id.get(slice_id)
    owner = None if assignment is None else assignment.target
    target = None if owner is None else service.targets_by_id.get(owner)
    return Explanation(
        service=service.name,
        key=key,
        profile=profile.name,
        request_class=request_class.name,
        repeatable=request_class.repeatable,
        slice_id=slice_id,
        group=group,
        owner=owner,
        owner_address=None if target is None else target.address,
        slice_term=None if assignment is None else assignment.term,
        standby=None if assignment is None else assignment.standby,
        term=None if record is None else record.term,
        revision=None if record is None else record.revision,
        holder=None if record is None else record.holder,
        successor=None if record is None else record.successor,
        why=(
            f"the key's hash modulo {service.slices} slices gives slice {home}",
            f"slice {home} modulo {service.groups} groups gives group {group}",
            *_split(home, slice_id),
            *_ownership(service, slice_id, record),
        ),
    )


def _split(home: int, slice_id: int) -> tuple[str, ...]:
    """Return why the key is in another slice than its hash gives."""
    if slice_id == home:
        return ()
    return (f"the record gives this key, which is or was hot, slice {slice_id}",)


def _ownership(
    service: Service, slice_id: int, record: GroupRecord | None
) -> tuple[str, ...]:
    """Return how the record leads from the slice to its owner."""
    if record is None:
        return ("the group has no record: no instance holds it, nothing is served",)
    holder = (
        f"{record.holder} holds the group by term {record.term}, revision "
        f"{record.revision}, last written because of: {record.reason}"
    )
    assignment = record.slices_by_id.get(slice_id)
    if assignment is None:
        return (holder, "the record names no owner of the slice: it is not served")
    owner = (
        f"the record gives the slice to {assignment.target} "
        f"by slice term {assignment.term}"
    )
    if assignment.target not in service.targets_by_id:
        owner += ", which the service no longer declares: it is about to move"
    return (holder, owner)
