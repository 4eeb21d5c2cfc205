"""Judging of what is told of the targets."""

from __future__ import annotations

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.const import GOSSIP_LAG, REREGISTRATION_TIME
from swiftpin.discovery.entry_revisions import EntryRevisions
from swiftpin.discovery.freshness import Freshness, UpdateSource
from swiftpin.discovery.known_targets import KnownTargets
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.unusable_entries import UnusableEntries
from swiftpin.model.store_revision import era_of
from swiftpin.model.target import Target
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.target_entries import decode_target
from swiftpin.platform.unusable_entry import UnusableEntryError, UnusableReason


class TargetUpdates:
    """Takes updates of the targets, from whomever, as far as they are newer.

    What was learnt at a revision of the store is never undone by older updates.
    """

    def __init__(
        self,
        *,
        known: KnownTargets,
        revisions: EntryRevisions,
        freshness: Freshness,
        unusable: UnusableEntries,
        health: StoreHealth,
    ) -> None:
        self._known = known
        self._revisions = revisions
        self._freshness = freshness
        self._unusable = unusable
        self._health = health

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Take the whole list as it was at a revision."""
        if revision < self._revisions.version:
            # The watch that goes on from this list brings what it lacks.
            self._revisions.log_refused(
                UpdateSource.LIST, "", revision, self._revisions.version, now
            )
            return
        self._note_era(revision, now)
        since = self._freshness.unseen_since(now)
        present = [found for found in objects if not found.is_deleted]
        for entry in present:
            # A list as new as this is itself what is known of names that were not.
            self._adopt_entry(entry, 0, now, since)
        for name in self._known.names() - {entry.name for entry in present}:
            self._note_missing(name, revision, now, since)
        self._revisions.advance(revision)
        self._freshness.confirm(now, UpdateSource.LIST)

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
        self._note_era(revision, now)
        since = self._freshness.unseen_since(now) if is_catching_up else now
        complete = self._revisions.version
        for changed in objects:
            if changed.is_deleted and changed.is_readable:
                self._adopt_removal(changed, revision, now, since)
            else:
                self._adopt_entry(changed, complete, now, since)
            self._revisions.advance(changed.revision)
        if revision >= complete:
            self._freshness.confirm(now, UpdateSource.WATCH)

    @callback
    def adopt_update(
        self, targets: list[Target], ids: frozenset[str], revision: int, now: float
    ) -> None:
        """Take what a neighbour knows that saw a later revision.

        `targets` are those that changed, `ids` names the lives of all that there are.
        """
        if revision <= self._revisions.version:
            self._revisions.log_refused(
                UpdateSource.NEIGHBOUR, "", revision, self._revisions.version, now
            )
            return
        self._note_era(revision, now)
        since = self._freshness.unseen_since(now - GOSSIP_LAG)
        complete = self._revisions.version
        for target in targets:
            self._adopt(target, complete, now, since, UpdateSource.NEIGHBOUR)
        for name in self._known.names():
            life = self._known.present_life(name)
            if life is not None and life.id not in ids:
                self._note_missing(name, revision, now, since)
        self._revisions.advance(revision)
        self._freshness.confirm(now - GOSSIP_LAG, UpdateSource.NEIGHBOUR)
        log_message(
            message_type="targets_from_neighbour", revision=revision, count=len(ids)
        )

    @callback
    def _note_era(self, revision: int, now: float) -> None:
        """Note that the store came back from an older copy, if it did.

        Entries that were written since the copy are missing until they are written
        again; taking their targets for gone would move all their keys.
        """
        known = self._revisions.version
        if not known or era_of(revision) <= era_of(known):
            return
        self._health.record_restore(now)
        log_message(
            message_type="targets_in_doubt",
            level="warning",
            era=era_of(revision),
            before=era_of(known),
            targets=len(self._known.names()),
        )

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
        self._adopt(target, complete, now, since, UpdateSource.WATCH)

    @callback
    def _adopt(
        self,
        target: Target,
        complete: int,
        now: float,
        since: float,
        source: UpdateSource,
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
        if life is not None and _is_of_older_copy(life, target):
            self._revisions.log_refused(
                source, target.id, target.revision, life.revision, now
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
        elif life is None or not _was_draining(life, target):
            self._known.note_back(target.id)

    @callback
    def _adopt_removal(
        self, changed: PlatformObject, revision: int, now: float, since: float
    ) -> None:
        """Take the removal of an entry."""
        known = self._revisions.of(changed.name)
        if changed.revision < known:
            self._revisions.log_refused(
                UpdateSource.WATCH, changed.name, changed.revision, known, now
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
        if self._health.is_settling(now, REREGISTRATION_TIME):
            log_message(
                message_type="target_unlisted", target=life.id, revision=revision
            )
            return
        self._known.note_leaving(life.id, "entry removed", since, revision)

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
        self._unusable.note(name, reason, detail, now)
        if life is None:
            return
        self._revisions.note(name, revision)
        self._known.unusable_ids.add(life.id)
        self._known.note_leaving(life.id, "its entry can't be used", since, revision)


@callback
def _is_of_older_copy(life: Target, told: Target) -> bool:
    """Return whether an entry of a restored store is of an earlier life than known."""
    if era_of(told.revision) == era_of(life.revision):
        return False
    known, started = life.life.started_ms, told.life.started_ms
    return known is not None and started is not None and started < known


@callback
def _was_draining(life: Target, told: Target) -> bool:
    """Return whether a restored store lost that a target is draining.

    The target writes it again. Taken at its word in between, the target would get
    requests after it had said that it leaves.
    """
    is_restored = era_of(told.revision) > era_of(life.revision)
    return is_restored and told.id == life.id and life.is_draining


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
