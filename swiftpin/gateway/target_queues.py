"""Queues of the targets that this instance sends to."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from swiftpin.config.profile import Profile
from swiftpin.config.service import Service
from swiftpin.config.target_spec import TargetSpec
from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.close_reason import CloseReason
from swiftpin.dispatch.queue_settings import QueueSettings
from swiftpin.dispatch.target_queue import TargetQueue
from swiftpin.gateway.target_name import TargetName
from swiftpin.ownership.group_id import GroupId


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class _Entry:
    """A queue and the declarations that it was made from."""

    queue: TargetQueue
    group: GroupId | None
    target: TargetSpec
    profile: Profile


class TargetQueues:
    """One queue a target, made when it is first needed.

    When the target's or the profile's declaration changes, a new queue takes its
    place; requests that wait in the old one are still served from there.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._entries_by_name: dict[TargetName, _Entry] = {}

    @property
    def queues_by_name(self) -> dict[TargetName, TargetQueue]:
        """Return the queues for metrics."""
        return {name: entry.queue for name, entry in self._entries_by_name.items()}

    @callback
    def queue_of(
        self, service: str, target: TargetSpec, profile: Profile, group: GroupId | None
    ) -> TargetQueue:
        """Return the target's queue; `group` is the lease that it works under."""
        name = TargetName(service, target.id)
        entry = self._entries_by_name.get(name)
        if entry is not None and entry.target is target and entry.profile is profile:
            return entry.queue
        settings = QueueSettings.from_profile(profile, target)
        if entry is not None and entry.queue.settings == settings:
            queue = entry.queue
        else:
            queue = TargetQueue(target.id, settings, self._rng)
        self._entries_by_name[name] = _Entry(
            queue=queue, group=group, target=target, profile=profile
        )
        return queue

    @callback
    def start_ramp(self, name: TargetName) -> None:
        """Give a target that has just started its work step by step."""
        entry = self._entries_by_name.get(name)
        if entry is not None:
            entry.queue.start_ramp(monotonic_now())

    @callback
    def close_group(self, group: GroupId, reason: CloseReason) -> None:
        """Refuse what waits for the group's targets, and forget their queues."""
        for name, entry in list(self._entries_by_name.items()):
            if entry.group == group:
                del self._entries_by_name[name]
                entry.queue.close(reason)

    @callback
    def forget_removed(self, services_by_name: Mapping[str, Service]) -> None:
        """Refuse what waits for targets that are not declared any more."""
        for name, entry in list(self._entries_by_name.items()):
            service = services_by_name.get(name.service)
            if service is None or name.target not in service.targets_by_id:
                del self._entries_by_name[name]
                entry.queue.close(CloseReason.TARGET_LEAVING)

    @callback
    def unload(self) -> None:
        """Refuse everything that waits."""
        for entry in self._entries_by_name.values():
            entry.queue.close(CloseReason.STOPPING)
        self._entries_by_name.clear()
