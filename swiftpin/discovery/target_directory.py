"""Targets that are known, and which of them are leaving."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.entry_revisions import EntryRevisions
from swiftpin.discovery.freshness import Freshness, NewsSource
from swiftpin.discovery.known_targets import KnownTargets
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.unusable_entries import UnusableEntries
from swiftpin.model.target import Target
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.target_entries import decode_target
from swiftpin.platform.unusable_entry import UnusableEntryError, UnusableReason

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
    """Targets by id of their lives, from the store or from a neighbour.

    What was learnt at a revision of the store is never undone by older news, whoever
    brings it. A target that leaves, by its own word or because its entry is gone or
    can't be read, stays in `targets_by_id` with the time in `leaving_since_by_id`,
    until nobody needs it: it may hold keys.
    """

    def __init__(self, health: StoreHealth, drain: float) -> None:
        self._known = KnownTargets()
        self.targets_by_id = self._known.targets_by_id
        self.leaving_since_by_id = self._known.leaving_since_by_id
        self.seen_since_by_id = self._known.seen_since_by_id
        self.replaced_ids = self._known.replaced_ids
        self.on_change: Callable[[], None] = _ignore
        self.unusable = UnusableEntries()
        self._revisions = EntryRevisions()
        self._freshness = Freshness()
        self._health = health
        self._drain = drain

    @property
    def version(self) -> int:
        """Return the revision up to which all entries are known."""
        return self._revisions.version

    @property
    def picture_source(self) -> str:
        """Return who confirmed last what is known of the targets."""
        return self._freshness.source.value

    @callback
    def picture_age(self, now: float) -> float:
        """Return for how many seconds a target may have changed unseen."""
        return self._freshness.age(now)

    @callback
    def note_confirmed(self, at: float) -> None:
        """Note that a neighbour knew nothing newer at a time."""
        self._freshness.confirm(at, NewsSource.NEIGHBOUR)

    # News.

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Take the whole list as it was at a revision."""
        if revision < self.version:
            # The watch that goes on from this list brings what it lacks.
            self._revisions.log_refused(
                NewsSource.LIST, "", revision, self.version, now
            )
            return
        since = self._freshness.unseen_since(now)
        present = [found for found in objects if not found.is_deleted]
        for entry in present:
            # A list as new as this is itself what is known of names that were not.
            self._adopt_entry(entry, 0, now, since)
        for name in self._known.names() - {entry.name for entry in present}:
            self._note_missing(name, revision, now, since)
        self._revisions.advance(revision)
        self._freshness.confirm(now, NewsSource.LIST)
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
        """Take the changes that a watch brought, up to a revision.

        `is_catching_up` tells that the watch had stood still for a while.
        """
        since = self._freshness.unseen_since(now) if is_catching_up else now
        complete = self.version
        for changed in objects:
            if changed.is_deleted and changed.is_readable:
                self._adopt_removal(changed, revision, now, since)
            else:
                self._adopt_entry(changed, complete, now, since)
            self._revisions.advance(changed.revision)
        if revision >= complete:
            self._freshness.confirm(now, NewsSource.WATCH)
        if objects:
            self.on_change()

    @callback
    def adopt_update(
        self, targets: list[Target], ids: frozenset[str], revision: int, now: float
    ) -> None:
        """Take what a neighbour knows that saw a later revision.

        `targets` are those that changed, `ids` names the lives of all that there are.
        """
        if revision <= self.version:
            self._revisions.log_refused(
                NewsSource.NEIGHBOUR, "", revision, self.version, now
            )
            return
        since = self._freshness.unseen_since(now - GOSSIP_LAG)
        complete = self.version
        for target in targets:
            self._adopt(target, complete, now, since, NewsSource.NEIGHBOUR)
        for name in self._known.names():
            life = self._known.present_life(name)
            if life is not None and life.id not in ids:
                self._note_missing(name, revision, now, since)
        self._revisions.advance(revision)
        self._freshness.confirm(now - GOSSIP_LAG, NewsSource.NEIGHBOUR)
        log_message(
            message_type="targets_from_neighbour", revision=revision, count=len(ids)
        )
        self.on_change()

    # What is known.

    @callback
    def present_targets(self) -> list[Target]:
        """Return the targets whose entries are in the store and can be used."""
        return self._known.listed()

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
        if self._known.note_replaced(target_id, now):
            self.on_change()

    @callback
    def forget(self, target_id: str) -> None:
        """Drop a life that is gone for certain."""
        target = self.targets_by_id.get(target_id)
        self._known.forget(target_id)
        if target is not None and self._known.present_life(target.name) is None:
            self._revisions.forget(target.name)

    @callback
    def sweep(self, now: float) -> None:
        """Take targets for gone that did not come back, and drop those of long ago."""
        for target_id, seen_at in self._known.missing_since_by_id.items():
            if target_id not in self.leaving_since_by_id and self._had_time(
                seen_at, now
            ):
                self._known.note_leaving(target_id, "not back after an outage", seen_at)
                self.on_change()
        if self._health.is_settling(now, RETURN_TIME):
            return
        for target in self._known.ended_long_ago(now):
            self.forget(target.id)

    # Judging.

    @callback
    def _adopt_entry(
        self, entry: PlatformObject, complete: int, now: float, since: float
    ) -> None:
        """Take an entry that is in the store."""
        try:
            target = decode_target(entry)
        except UnusableEntryError as err:
            self._note_unusable(
                entry.name, entry.revision, err.reason, str(err), now, since
            )
            return
        self._adopt(target, complete, now, since, NewsSource.WATCH)

    @callback
    def _adopt(
        self,
        target: Target,
        complete: int,
        now: float,
        since: float,
        source: NewsSource,
    ) -> None:
        """Take a target that is in the store."""
        life = self._known.present_life(target.name)
        if not self._revisions.is_new(target.name, target.revision, complete):
            if life is None or target.revision != life.revision:
                known = max(self._revisions.of(target.name), complete)
                self._revisions.log_refused(
                    source, target.id, target.revision, known, now
                )
            return
        reason = None if life is None else _contradiction(life, target)
        if reason is not None:
            detail = "it contradicts what the same target told before"
            self._note_unusable(
                target.name, target.revision, reason, detail, now, since
            )
            return
        self._revisions.note(target.name, target.revision)
        self._known.put(target, now)
        if target.is_draining:
            self._known.note_leaving(target.id, "draining", since, target.revision)
        else:
            self._known.note_back(target.id)

    @callback
    def _adopt_removal(
        self, changed: PlatformObject, revision: int, now: float, since: float
    ) -> None:
        """Take the removal of an entry."""
        known = self._revisions.of(changed.name)
        if changed.revision < known:
            self._revisions.log_refused(
                NewsSource.WATCH, changed.name, changed.revision, known, now
            )
            return
        self._note_missing(changed.name, changed.revision, now, since)

    @callback
    def _note_missing(self, name: str, revision: int, now: float, since: float) -> None:
        """Note that an entry is not in the store any more.

        After an outage of the store the entries of live targets are missing for up to
        two seconds; taking them for gone would move their keys to and fro.
        """
        life = self._known.present_life(name)
        if life is None or revision < self._revisions.of(name):
            return
        self._revisions.note(name, revision)
        if life.id in self._known.missing_since_by_id:
            return
        self._known.missing_since_by_id[life.id] = now
        if self._health.is_settling(now, RETURN_TIME):
            log_message(
                message_type="target_unlisted", target=life.id, revision=revision
            )
            return
        self._known.note_leaving(life.id, "entry removed", since, revision)

    @callback
    def _had_time(self, missing_since: float, now: float) -> bool:
        """Return whether a target whose entry is missing would be back by now.

        An instance that the store turns away learns from neighbours, whose store
        answers, that an entry is missing; it must not wait for its own store's return.
        It waits while nobody could tell it of the target's return.
        """
        if not self._health.is_settling(now, RETURN_TIME):
            return True
        return self._freshness.confirmed_at >= missing_since + RETURN_TIME

    @callback
    def _note_unusable(
        self,
        name: str,
        revision: int,
        reason: UnusableReason,
        detail: str,
        now: float,
        since: float,
    ) -> None:
        """Note an entry that can't be used; a target known by its name leaves.

        It may hold keys, so it is not forgotten; nothing tells where it is or whether
        it serves, so it gets nothing new.
        """
        life = self._known.present_life(name)
        if revision and revision < self._revisions.of(name):
            return
        self.unusable.note(name, reason, detail, now)
        if life is None:
            return
        self._revisions.note(name, revision)
        self._known.unusable_ids.add(life.id)
        self._known.note_leaving(life.id, "its entry can't be used", since, revision)


@callback
def _contradiction(life: Target, told: Target) -> UnusableReason | None:
    """Return why an entry can't be of the target that bears its name, None if it can.

    Another writer that leaves the start out would otherwise look like a new life, and
    end all that a live target was granted.
    """
    if told.life.started_ms is None and life.life.started_ms is not None:
        return UnusableReason.START
    if told.id == life.id and told.service != life.service:
        return UnusableReason.SERVICE
    return None


@callback
def _ignore() -> None:
    """Do nothing."""
