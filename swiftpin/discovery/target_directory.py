"""Directory of the known targets and their state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.announced_drains import AnnouncedDrains
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
"""Seconds after the first list for which live targets may be missing from it."""


class TargetDirectory:
    """Targets by life id, as reported by the store or a neighbour.

    Updates older than the known revision of a target are ignored, whatever their
    source. A target is leaving if its entry or its answers say so, or if its entry was
    removed or can't be used. It may hold keys, so it stays in `targets_by_id` until it
    is removed. `leaving_since_by_id` holds the time for those that are leaving by their
    entries, `announced_drains` knows those that are by their answers.
    """

    def __init__(
        self,
        health: StoreHealth,
        drain_limit: float,
        evacuations: Evacuations | None = None,
    ) -> None:
        self.evacuations = evacuations or Evacuations(None)
        self.announced_drains = AnnouncedDrains(drain_limit)
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
        self._drain_limit = drain_limit
        self._first_updated_at: float | None = None
        """Time of the first update of the targets."""

        self._updates = TargetUpdates(
            known=self._known,
            revisions=self._revisions,
            freshness=self._freshness,
            unusable_entries=self.unusable_entries,
            health=health,
        )

    @property
    def version(self) -> int:
        """Return the revision up to which all entries are known."""
        return self._revisions.version

    @property
    def data_source(self) -> str:
        """Return the source that last confirmed the known targets."""
        return self._freshness.source.value

    @callback
    def data_age(self, now: float) -> float:
        """Return the seconds since the known targets were last confirmed."""
        return self._freshness.age(now)

    @callback
    def record_confirmation(self, at: float) -> None:
        """Record that a neighbour knew no later revision at a time."""
        self._freshness.confirm(at, UpdateSource.NEIGHBOUR)

    # Updates.

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Adopt the complete list of entries at a revision."""
        self._record_first_update(now)
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
        """Adopt the changes returned by a watch, up to a revision."""
        self._updates.adopt_changes(
            objects, revision, now, is_catching_up=is_catching_up
        )
        if objects:
            self.on_change()

    @callback
    def resume_revision(self, revision: int) -> int | None:
        """Return the revision from which to resume a watch.

        Changes received from neighbours meanwhile are skipped.
        """
        return max(revision, self.version)

    @callback
    def adopt_update(
        self, targets: list[Target], ids: frozenset[str], revision: int, now: float
    ) -> None:
        """Adopt the targets known to a neighbour that has seen a later revision."""
        self._record_first_update(now)
        self._updates.adopt_update(targets, ids, revision, now)
        self.on_change()

    @callback
    def _record_first_update(self, now: float) -> None:
        """Record the time of the first update."""
        if self._first_updated_at is None:
            self._first_updated_at = now

    # Queries.

    @callback
    def listed_targets(self) -> list[Target]:
        """Return the targets whose entries are in the store and can be used."""
        return self._known.listed_targets()

    @callback
    def current_life(self, name: str) -> Target | None:
        """Return the newest known life of a target, None if there is none."""
        return self._known.current_life(name)

    @callback
    def is_likely_complete(self, now: float) -> bool:
        """Return whether all live targets and evacuations are likely to be known.

        An instance that started during an outage of the store or right after it
        receives an incomplete list, because entries of live targets have expired.
        """
        if self._first_updated_at is None or not self.evacuations.is_known:
            return False
        return now - self._first_updated_at >= FIRST_LIST_SETTLE_TIME

    @callback
    def set_drain_limit(self, drain_limit: float) -> None:
        """Set the seconds for which a leaving target may get requests."""
        self._drain_limit = drain_limit
        self.announced_drains.set_drain_limit(drain_limit)

    @callback
    def serving_targets(self, service: str, now: float) -> list[Target]:
        """Return the targets of a service that are neither leaving nor evacuated."""
        return [
            target
            for target in self.targets_by_id.values()
            if target.service == service and not self._is_retiring(target)
        ]

    @callback
    def retiring_targets(self, service: str, now: float) -> list[Target]:
        """Return the leaving or evacuated targets of a service that may get requests.

        They get requests only for the keys that they own.
        """
        return [
            target
            for target in self.targets_by_id.values()
            if target.service == service
            and self._is_retiring(target)
            and self.may_send(target.id, now)
        ]

    @callback
    def may_send(self, target_id: str, now: float) -> bool:
        """Return whether a request may still be sent to a target."""
        target = self.targets_by_id.get(target_id)
        if target is None or target_id in self.replaced_ids:
            return False
        since = self.leaving_since_by_id.get(target_id)
        if since is not None and now - since >= self._drain_limit - DRAIN_MARGIN:
            return False
        if not self.announced_drains.may_send(target_id, now):
            return False
        return self.evacuations.may_send(target.zone, now)

    @callback
    def cold_time_left(self, target: Target, cold_start: float, now: float) -> float:
        """Return the seconds for which a target is still cold, 0 if it is not.

        `cold_start` is the time in seconds for which targets of its service are cold
        after a start. Targets may also be cold after an evacuation, and their entries
        report this late.
        """
        cold_until = self._known.cold_until_by_id.get(target.id, now)
        evacuated_until = self.evacuations.ended_at(target.zone)
        return max(cold_until - now, evacuated_until + cold_start - now, 0.0)

    @callback
    def targets_changed_since(self, revision: int, now: float) -> list[Target]:
        """Return the listed targets whose entries changed after a revision.

        Their `cold_for` is the time for which they are still cold.
        """
        return [
            replace(target, cold_for=self.cold_time_left(target, 0.0, now))
            for target in self.listed_targets()
            if target.revision > revision
        ]

    @callback
    def has_ended(self, target_id: str) -> bool:
        """Return whether a life has ended, as far as the store and others tell."""
        if target_id in self.replaced_ids:
            return True
        return (
            target_id in self._known.missing_since_by_id
            and target_id in self.leaving_since_by_id
        )

    @callback
    def is_listed(self, target_id: str) -> bool:
        """Return whether a life has an entry in the store that can be used."""
        return (
            target_id in self.targets_by_id
            and target_id not in self.replaced_ids
            and target_id not in self._known.missing_since_by_id
            and target_id not in self._known.unusable_ids
        )

    @callback
    def is_leaving(self, target_id: str) -> bool:
        """Return whether a target is leaving, evacuated or unknown."""
        target = self.targets_by_id.get(target_id)
        return target is None or self._is_retiring(target)

    @callback
    def _is_retiring(self, target: Target) -> bool:
        """Return whether a target gets no new work, by whatever told so first."""
        return (
            target.id in self.leaving_since_by_id
            or target.id in self.announced_drains.confirmed_ids
            or self.evacuations.is_evacuated(target.zone)
        )

    @callback
    def targets_at(self, address: str) -> list[Target]:
        """Return the targets at an address that are not known to have terminated."""
        return self._known.targets_at(address)

    @callback
    def set_on_shared_address(self, on_shared_address: Callable[[str], None]) -> None:
        """Set what is called with the address of a new target that others may have."""
        self._known.on_shared_address = on_shared_address

    @callback
    def mark_replaced(self, target_id: str, now: float) -> None:
        """Mark a target as terminated: another one was found at its address."""
        if self._known.mark_replaced(target_id, now):
            self.on_change()

    @callback
    def remove(self, target_id: str) -> None:
        """Remove a target life that is known to have terminated."""
        target = self.targets_by_id.get(target_id)
        self._known.remove(target_id)
        if target is not None and self._known.current_life(target.name) is None:
            self._revisions.remove(target.name)

    @callback
    def expire_targets(self, now: float) -> None:
        """Mark targets that did not register again as leaving; remove expired lives."""
        for target_id, since in self._known.missing_since_by_id.items():
            if target_id not in self.leaving_since_by_id and self._is_overdue(
                since, now
            ):
                self._known.mark_leaving(target_id, "not back after an outage", since)
                self.on_change()
        if self._health.is_settling(now, REREGISTRATION_TIME):
            return
        for target in self._known.expired_targets(now):
            self.remove(target.id)

    @callback
    def _is_overdue(self, missing_since: float, now: float) -> bool:
        """Return whether a missing target should have registered again by now.

        An instance that has lost its connection to the store learns of the missing
        entry from neighbours that have one. It must not wait for its own connection,
        but it must wait until a neighbour could have reported the registration.
        """
        if not self._health.is_settling(now, REREGISTRATION_TIME):
            return True
        return self._freshness.confirmed_at >= missing_since + REREGISTRATION_TIME


@callback
def _ignore() -> None:
    """Do nothing."""
