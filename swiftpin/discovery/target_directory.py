"""Targets that are known, and which of them are leaving."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.exceptions import ConfigurationError
from swiftpin.model.target import Target
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.target_entries import decode_target

RETURN_TIME: Final = 2.3
"""Seconds after the store's return within which live targets have registered again;
the platform promises about two."""

GOSSIP_LAG: Final = 1.0
"""Seconds by which a neighbour's update may be late: its own watch, two heartbeats and
a question. A target that left is taken to have said so that much earlier."""

DRAIN_MARGIN: Final = 0.5
"""Seconds before the end of a target's drain time at which nothing more is sent to it,
for clocks, links and what is being sent."""


class TargetDirectory:
    """Targets by id, from the store or from a neighbour that knows it better.

    A target that leaves, by its own word or because its entry is gone, stays in
    `targets_by_id` with the time in `leaving_since_by_id`, until nobody needs it.
    """

    def __init__(self, health: StoreHealth, drain: float) -> None:
        self.targets_by_id: dict[str, Target] = {}
        self.leaving_since_by_id: dict[str, float] = {}
        self.seen_since_by_id: dict[str, float] = {}
        self.gone_ids: set[str] = set()
        self.replaced_ids: set[str] = set()
        self.revision = 0
        self.version = 0
        """Revision of the last list or change that was taken."""

        self.on_change: Callable[[], None] = _ignore
        self._health = health
        self._drain = drain

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Take the whole list as it was at a revision."""
        if revision < self.revision:
            return
        self.revision = revision
        self.version = max(self.version, revision)
        listed = set()
        for entry in objects:
            listed.add(entry.name)
            self._adopt_entry(entry, now)
        for target_id in self.targets_by_id.keys() - listed:
            self._note_missing(target_id, now)
        self.on_change()

    @callback
    def adopt_update(
        self, targets: list[Target], ids: frozenset[str], revision: int, now: float
    ) -> None:
        """Take what a neighbour knows that saw a later revision.

        `targets` are those that changed, `ids` names all that there are.
        """
        if revision <= self.version:
            return
        self.version = revision
        for target in targets:
            self._adopt(target, now - GOSSIP_LAG)
        for target_id in self.targets_by_id.keys() - ids:
            self._note_missing(target_id, now - GOSSIP_LAG)
        log_message(
            message_type="targets_from_neighbour", revision=revision, count=len(ids)
        )
        self.on_change()

    @callback
    def present_targets(self) -> list[Target]:
        """Return the targets whose entries are in the store."""
        return [
            target
            for target in self.targets_by_id.values()
            if target.id not in self.gone_ids
        ]

    @callback
    def adopt_change(self, changed: PlatformObject, revision: int, now: float) -> None:
        """Take one changed entry."""
        self.revision = max(self.revision, revision)
        self.version = max(self.version, changed.revision)
        known = self.targets_by_id.get(changed.name)
        if known is not None and known.revision > changed.revision:
            return
        if changed.is_deleted:
            self._note_missing(changed.name, now)
        else:
            self._adopt_entry(changed, now)
        self.on_change()

    @callback
    def set_drain(self, drain: float) -> None:
        """Set how long a leaving target may get requests, in seconds."""
        self._drain = drain

    @callback
    def serving_targets(self, service: str, now: float) -> list[Target]:
        """Return the targets of a service that are not leaving."""
        return [
            target
            for target in self.targets_by_id.values()
            if target.service == service and target.id not in self.leaving_since_by_id
        ]

    @callback
    def may_send(self, target_id: str, now: float) -> bool:
        """Return whether a request may still go to a target."""
        if target_id not in self.targets_by_id or target_id in self.replaced_ids:
            return False
        since = self.leaving_since_by_id.get(target_id)
        return since is None or now - since < self._drain - DRAIN_MARGIN

    @callback
    def is_leaving(self, target_id: str) -> bool:
        """Return whether a target is leaving or unknown."""
        return (
            target_id in self.leaving_since_by_id or target_id not in self.targets_by_id
        )

    @callback
    def note_replaced(self, target_id: str, now: float) -> None:
        """Note that another target was met at a target's address: it is gone."""
        if target_id in self.replaced_ids:
            return
        self.replaced_ids.add(target_id)
        self._note_leaving(target_id, "replaced at its address", now)
        self.on_change()

    @callback
    def forget(self, target_id: str) -> None:
        """Drop a target that is gone for certain."""
        self.targets_by_id.pop(target_id, None)
        self.leaving_since_by_id.pop(target_id, None)
        self.seen_since_by_id.pop(target_id, None)
        self.gone_ids.discard(target_id)

    @callback
    def _adopt_entry(self, entry: PlatformObject, now: float) -> None:
        """Take an entry that is in the store."""
        try:
            target = decode_target(entry)
        except ConfigurationError as err:
            log_message(message_type="target_entry", level="warning", error=str(err))
            return
        self._adopt(target, now)

    @callback
    def _adopt(self, target: Target, now: float) -> None:
        """Take a target that is in the store."""
        known = self.targets_by_id.get(target.id)
        if known is not None and known.revision > target.revision:
            return
        self.targets_by_id[target.id] = target
        if known is None:
            self._note_same_address(target, now)
        self.seen_since_by_id.setdefault(target.id, now)
        self.gone_ids.discard(target.id)
        if target.is_draining:
            self._note_leaving(target.id, "draining", now)
        elif target.id in self.replaced_ids:
            return
        elif self.leaving_since_by_id.pop(target.id, None) is not None:
            log_message(message_type="target_back", target=target.id)
        elif known is None:
            log_message(
                message_type="target_found",
                target=target.id,
                service=target.service,
                zone=target.zone,
                revision=target.revision,
            )

    @callback
    def _note_same_address(self, newcomer: Target, now: float) -> None:
        """Note that whoever had a newcomer's address before is gone.

        A list may hold both entries, in any order. Where both bear one name, the newer
        life may have taken what was sent to the older one: its keys are taken back.
        """
        for target in list(self.targets_by_id.values()):
            if target.address != newcomer.address or target.id == newcomer.id:
                continue
            is_older = target.revision <= newcomer.revision
            older = target if is_older else newcomer
            if target.name == newcomer.name:
                self._note_leaving(older.id, "started again", now)
            else:
                self.note_replaced(older.id, now)

    @callback
    def _note_missing(self, target_id: str, now: float) -> None:
        """Note that an entry is not in the store any more.

        After an outage of the store the entries of live targets are missing for up to
        two seconds; taking them for gone would move their keys to and fro.
        """
        if target_id not in self.targets_by_id:
            return
        if self._health.is_settling(now, RETURN_TIME):
            log_message(message_type="target_unlisted", target=target_id)
            self.gone_ids.add(target_id)
            return
        self.gone_ids.add(target_id)
        self._note_leaving(target_id, "entry removed", now)

    @callback
    def sweep(self, now: float) -> None:
        """Take targets for gone that did not come back after an outage."""
        if not self.gone_ids or self._health.is_settling(now, RETURN_TIME):
            return
        for target_id in self.gone_ids:
            if target_id not in self.leaving_since_by_id:
                self._note_leaving(target_id, "not back after an outage", now)
                self.on_change()

    @callback
    def _note_leaving(self, target_id: str, reason: str, now: float) -> None:
        """Note that a target leaves."""
        if target_id in self.leaving_since_by_id:
            return
        self.leaving_since_by_id[target_id] = now
        log_message(
            message_type="target_leaving",
            target=target_id,
            reason=reason,
            revision=self.revision,
        )


@callback
def _ignore() -> None:
    """Do nothing."""
