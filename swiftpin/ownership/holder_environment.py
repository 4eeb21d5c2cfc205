"""What a group's holder needs from its instance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from swiftpin.config.profile import Profile
from swiftpin.config.service import Service
from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_listener import GroupListener
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.ownership_events import OwnershipEvents
from swiftpin.ownership.timing import Timing
from swiftpin.store.client import StoreClient
from swiftpin.targets.client import TargetClient


@dataclass(frozen=True, kw_only=True, slots=True)
class HolderEnvironment:
    """Shared parts and callbacks of one instance.

    `service_of` returns the declaration in force, None when it is retired,
    `profile_of` its profile;
    `leaving_targets_of` the ids of targets with a planned stop; `publish` spreads a
    record as news; `released` is called when the holder gave the group up;
    `declared_targets_of` returns the targets that the declaration gives the group;
    `successor_for` names an instance id for the group, None when there is no other.
    """

    instance_id: str
    store: StoreClient
    timing: Timing
    events: OwnershipEvents
    listener: GroupListener
    client_for: Callable[[TargetSpec], TargetClient]
    service_of: Callable[[str], Service | None]
    profile_of: Callable[[Service], Profile]
    declared_targets_of: Callable[[GroupId], frozenset[str] | None]
    leaving_targets_of: Callable[[str], frozenset[str]]
    publish: Callable[[GroupRecord], None]
    released: Callable[[GroupId], None]
    successor_for: Callable[[GroupId], str | None]
