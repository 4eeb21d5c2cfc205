"""Targets that are known, and which of them are leaving."""

from __future__ import annotations

from collections.abc import Callable, Set
from dataclasses import replace
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.const import DRAIN_MARGIN, REREGISTRATION_TIME
from swiftpin.discovery.entry_revisions import EntryRevisions
from swiftpin.discovery.evacuations import Evacuations
from swiftpin.discovery.freshness import Freshness, UpdateSource
from swiftpin.discovery.known_targets import KnownTargets
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_updates import TargetUpdates
from swiftpin.discovery.unusable_entries import UnusableEntries
from swiftpin.model.target import Target
from swiftpin.platform.platform_object import PlatformObject

FIRST_LIST_SETTLE_TIME: Final = REREGISTRATION_TIME
"""Seconds after the first list within which targets may be missing from it."""


class TargetDirectory:
    """Targets by id of their lives, from the store or from a neighbour.

    What was learnt at a revision of the store is never undone by older updates, whoever
    brings it. A target that leaves, by its own word or because its entry is gone or
    can't be read, stays in `targets_by_id` with the time in `leaving_since_by_id`,
    until nobody needs it: it may hold keys.
    """

    def __init__(
        self,
        health: StoreHealth,
        drain: float,
        evacuations: Evacuations | None = None,
    ) -> None:
        self.evacuations = evacuations or Evacuations(None)
        self._known = KnownTargets()
        self.targets_by_id = self._known.targets_by_id
        self.leaving_since_by_id = self._known.leaving_since_by_id
        self.seen_since_by_id = self._known.seen_since_by_id
        self.replaced_ids = self._known.replaced_ids
        self.on_change: Callable[[], None] = _ignore
        self.unusable_entries = UnusableEntries()
        self._revisions = EntryRevisions()
        self._freshness = Freshness()
        self._health = health
        self._drain = drain
        self._told_since: float | None = None
        """When the first targets were told."""

        self._updates = TargetUpdates(
            known=self._known,
            revisions=self._revisions,
            freshness=self._freshness,
            unusable=self.unusable_entries,
            health=health,
        )

    @property
    def version(self) -> int:
        """Return the revision up to which all entries are known."""
        return self._revisions.version

    @property
    def data_source(self) -> str:
        """Return who confirmed last what is known of the targets."""
        return self._freshness.source.value

    @callback
    def data_age(self, now: float) -> float:
        """Return for how many seconds a target may have changed unseen."""
        return self._freshness.age(now)

    @callback
    def record_confirmation(self, at: float) -> None:
        """Note that a neighbour knew nothing newer at a time."""
        self._freshness.confirm(at, UpdateSource.NEIGHBOUR)

    # Updates.

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Take the whole list as it was at a revision."""
        self._note_beginning(now)
        self._updates.adopt_list(objects, revision, now)
        self.on_change()

    @callback
    def adopt_changes(
        self,
        objects: tuple[PlatformObject, ...],
        revision: int,
        now: float,
        *,
        is_catching_up: bool = False,
    ) -> None:
        """Take the changes that a watch brought, up to a revision."""
        self._updates.adopt_changes(
            objects, revision, now, is_catching_up=is_catching_up
        )
        if objects:
            self.on_change()

    @callback
    def resume_revision(self, revision: int) -> int | None:
        """Return the revision from which a watch is to go on.

        What neighbours told meanwhile is not asked for again.
        """
        return max(revision, self.version)

    @callback
    def adopt_update(
        self, targets: list[Target], ids: frozenset[str], revision: int, now: float
    ) -> None:
        """Take what a neighbour knows that saw a later revision."""
        self._note_beginning(now)
        self._updates.adopt_update(targets, ids, revision, now)
        self.on_change()

    @callback
    def _note_beginning(self, now: float) -> None:
        """Note when the first targets are told."""
        if self._told_since is None:
            self._told_since = now

    # What is known.

    @callback
    def listed_targets(self) -> list[Target]:
        """Return the targets whose entries are in the store and can be used."""
        return self._known.listed()

    @callback
    def is_likely_complete(self, now: float) -> bool:
        """Return whether no live target or evacuation is likely to be unknown.

        An instance that started in an outage of the store, or right after it, lists
        few targets: the entries of the others have lapsed, and it can't see that.
        """
        if self._told_since is None or not self.evacuations.is_known:
            return False
        return now - self._told_since >= FIRST_LIST_SETTLE_TIME

    @callback
    def set_services(self, names: Set[str], now: float) -> None:
        """Take the names of the services that the configuration declares."""
        if self._known.set_services(names, now):
            self.on_change()

    @callback
    def set_drain_limit(self, drain: float) -> None:
        """Set how long a leaving target may get requests, in seconds."""
        self._drain = drain

    @callback
    def serving_targets(self, service: str, now: float) -> list[Target]:
        """Return the targets of a service that are neither leaving nor evacuated."""
        return [
            target
            for target in self.targets_by_id.values()
            if target.service == service
            and target.id not in self.leaving_since_by_id
            and not self.evacuations.is_evacuated(target.zone)
        ]

    @callback
    def retiring_targets(self, service: str, now: float) -> list[Target]:
        """Return the targets of a service that get requests for their keys only.

        They are leaving or evacuated.
        """
        return [
            target
            for target in self.targets_by_id.values()
            if target.service == service
            and (
                target.id in self.leaving_since_by_id
                or self.evacuations.is_evacuated(target.zone)
            )
            and self.may_send(target.id, now)
        ]

    @callback
    def may_send(self, target_id: str, now: float) -> bool:
        """Return whether a request may still go to a target."""
        target = self.targets_by_id.get(target_id)
        if target is None or target_id in self.replaced_ids:
            return False
        since = self.leaving_since_by_id.get(target_id)
        if since is not None and now - since >= self._drain - DRAIN_MARGIN:
            return False
        return self.evacuations.may_send(target.zone, now)

    @callback
    def cold_time_left(self, target: Target, cold_start: float, now: float) -> float:
        """Return for how many seconds a target is still cold, 0 when it is not.

        `cold_start` is for how long targets of its service are cold after a start. They
        may be cold after an evacuation too, and an entry tells it late.
        """
        until = self._known.cold_until_by_id.get(target.id, now)
        evacuated_until = self.evacuations.ended_at(target.zone)
        return max(until - now, evacuated_until + cold_start - now, 0.0)

    @callback
    def targets_changed_since(self, revision: int, now: float) -> list[Target]:
        """Return the listed targets whose entries changed after a revision.

        They tell for how long they are still cold.
        """
        return [
            replace(target, cold_for=self.cold_time_left(target, 0.0, now))
            for target in self.listed_targets()
            if target.revision > revision
        ]

    @callback
    def is_leaving(self, target_id: str) -> bool:
        """Return whether a target is leaving, evacuated or unknown."""
        target = self.targets_by_id.get(target_id)
        return (
            target is None
            or target_id in self.leaving_since_by_id
            or self.evacuations.is_evacuated(target.zone)
        )

    @callback
    def mark_replaced(self, target_id: str, now: float) -> None:
        """Note that another target was met at a target's address: it is gone."""
        if self._known.note_replaced(target_id, now):
            self.on_change()

    @callback
    def remove(self, target_id: str) -> None:
        """Drop a life that is gone for certain."""
        target = self.targets_by_id.get(target_id)
        self._known.forget(target_id)
        if target is not None and self._known.present_life(target.name) is None:
            self._revisions.forget(target.name)

    @callback
    def expire_targets(self, now: float) -> None:
        """Take targets for gone that did not come back, and drop those of long ago."""
        for target_id, seen_at in self._known.missing_since_by_id.items():
            if target_id not in self.leaving_since_by_id and self._had_time(
                seen_at, now
            ):
                self._known.note_leaving(target_id, "not back after an outage", seen_at)
                self.on_change()
        if self._health.is_settling(now, REREGISTRATION_TIME):
            return
        for target in self._known.ended_long_ago(now):
            self.remove(target.id)

    @callback
    def _had_time(self, missing_since: float, now: float) -> bool:
        """Return whether a target whose entry is missing would be back by now.

        An instance that the store turns away learns from neighbours, whose store
        answers, that an entry is missing; it must not wait for its own store's return.
        It waits while nobody could tell it of the target's return.
        """
        if not self._health.is_settling(now, REREGISTRATION_TIME):
            return True
        return self._freshness.confirmed_at >= missing_since + REREGISTRATION_TIME


@callback
def _ignore() -> None:
    """Do nothing."""
