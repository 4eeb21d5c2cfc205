"""Applying updates of the targets that are newer than the known state."""

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
from swiftpin.model.unusable_entry import UnusableEntryError, UnusableReason
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.target_entries import decode_target


class TargetUpdates:
    """Applies updates of the targets from the store and from neighbours.

    Updates older than the known revision of a target are ignored.
    """

    def __init__(
        self,
        *,
        known: KnownTargets,
        revisions: EntryRevisions,
        freshness: Freshness,
        unusable_entries: UnusableEntries,
        health: StoreHealth,
    ) -> None:
        self._known = known
        self._revisions = revisions
        self._freshness = freshness
        self._unusable_entries = unusable_entries
        self._health = health

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Adopt the complete list of entries at a revision."""
        if revision < self._revisions.version:
            # The watch that resumes at this list's revision returns what it lacks.
            self._revisions.log_stale(
                UpdateSource.LIST, "", revision, self._revisions.version, now
            )
            return
        self._detect_restore(revision, now)
        since = self._freshness.earliest_change(now)
        present = [item for item in objects if not item.is_deleted]
        for entry in present:
            # The list is at least as new as the known state, so it may add any name.
            self._adopt_entry(entry, 0, now, since)
        for name in self._known.names() - {entry.name for entry in present}:
            self._mark_missing(name, revision, now, since)
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
        """Adopt the changes returned by a watch, up to a revision.

        `is_catching_up` is set if the watch was interrupted before.
        """
        self._detect_restore(revision, now)
        since = self._freshness.earliest_change(now) if is_catching_up else now
        complete_revision = self._revisions.version
        for item in objects:
            if item.is_deleted and item.is_readable:
                self._adopt_removal(item, revision, now, since)
            else:
                self._adopt_entry(item, complete_revision, now, since)
            self._revisions.advance(item.revision)
        if revision >= complete_revision:
            self._freshness.confirm(now, UpdateSource.WATCH)

    @callback
    def adopt_update(
        self, targets: list[Target], ids: frozenset[str], revision: int, now: float
    ) -> None:
        """Adopt the targets known to a neighbour that has seen a later revision.

        `targets` holds the changed targets, `ids` the life ids of all targets.
        """
        if revision <= self._revisions.version:
            self._revisions.log_stale(
                UpdateSource.NEIGHBOUR, "", revision, self._revisions.version, now
            )
            return
        self._detect_restore(revision, now)
        since = self._freshness.earliest_change(now - GOSSIP_LAG)
        complete_revision = self._revisions.version
        for target in targets:
            self._adopt(target, complete_revision, now, since, UpdateSource.NEIGHBOUR)
        for name in self._known.names():
            current = self._known.current_life(name)
            if current is not None and current.id not in ids:
                self._mark_missing(name, revision, now, since)
        self._revisions.advance(revision)
        self._freshness.confirm(now - GOSSIP_LAG, UpdateSource.NEIGHBOUR)
        log_message(
            message_type="targets_from_neighbour", revision=revision, count=len(ids)
        )

    @callback
    def _detect_restore(self, revision: int, now: float) -> None:
        """Report to `StoreHealth` if a revision shows a restore from a backup.

        Entries written since the backup are missing until they are written again. If
        their targets counted as terminated, all their keys would move.
        """
        version = self._revisions.version
        if not version or era_of(revision) <= era_of(version):
            return
        self._health.record_restore(now)
        log_message(
            message_type="targets_in_doubt",
            level="warning",
            era=era_of(revision),
            before=era_of(version),
            targets=len(self._known.names()),
        )

    @callback
    def _adopt_entry(
        self, entry: PlatformObject, complete_revision: int, now: float, since: float
    ) -> None:
        """Adopt an entry that is in the store."""
        try:
            target = decode_target(entry)
        except UnusableEntryError as err:
            self._mark_unusable(
                entry.name, entry.revision, err.reason, str(err), now, since
            )
            return
        self._adopt(target, complete_revision, now, since, UpdateSource.WATCH)

    @callback
    def _adopt(
        self,
        target: Target,
        complete_revision: int,
        now: float,
        since: float,
        source: UpdateSource,
    ) -> None:
        """Adopt a target whose entry is in the store, unless it is outdated."""
        current = self._known.current_life(target.name)
        if not self._revisions.is_new(target.name, target.revision, complete_revision):
            if current is None or target.revision != current.revision:
                known_revision = max(
                    self._revisions.get_revision(target.name), complete_revision
                )
                self._revisions.log_stale(
                    source, target.id, target.revision, known_revision, now
                )
            return
        if current is not None and _is_earlier_life(current, target):
            self._revisions.log_stale(
                source, target.id, target.revision, current.revision, now
            )
            return
        reason = None if current is None else _find_contradiction(current, target)
        if reason is not None:
            detail = "it contradicts an earlier entry of the same target"
            self._mark_unusable(
                target.name, target.revision, reason, detail, now, since
            )
            return
        self._revisions.record(target.name, target.revision)
        self._known.put(target, now)
        if target.is_draining:
            self._known.mark_leaving(target.id, "draining", since, target.revision)
        elif current is None or not _was_draining(current, target):
            self._known.mark_serving(target.id)

    @callback
    def _adopt_removal(
        self, removed: PlatformObject, revision: int, now: float, since: float
    ) -> None:
        """Adopt the removal of an entry, unless it is outdated."""
        known_revision = self._revisions.get_revision(removed.name)
        if removed.revision < known_revision:
            self._revisions.log_stale(
                UpdateSource.WATCH, removed.name, removed.revision, known_revision, now
            )
            return
        self._mark_missing(removed.name, removed.revision, now, since)

    @callback
    def _mark_missing(self, name: str, revision: int, now: float, since: float) -> None:
        """Record that an entry is no longer in the store.

        After an outage of the store, the entries of live targets are missing for up to
        2 seconds. If the targets counted as leaving, their keys would move away and
        back.
        """
        current = self._known.current_life(name)
        if current is None or revision < self._revisions.get_revision(name):
            return
        self._revisions.record(name, revision)
        if current.id in self._known.missing_since_by_id:
            return
        self._known.missing_since_by_id[current.id] = now
        if self._health.is_settling(now, REREGISTRATION_TIME):
            log_message(
                message_type="target_unlisted", target=current.id, revision=revision
            )
            return
        self._known.mark_leaving(current.id, "entry removed", since, revision)

    @callback
    def _mark_unusable(
        self,
        name: str,
        revision: int,
        reason: UnusableReason,
        detail: str,
        now: float,
        since: float,
    ) -> None:
        """Report an unusable entry; mark a known target of that name as leaving.

        The target is not removed, because it may hold keys. It gets no new keys,
        because its address and whether it serves are unknown.
        """
        current = self._known.current_life(name)
        if revision and revision < self._revisions.get_revision(name):
            return
        self._unusable_entries.report(name, reason, detail, now)
        if current is None:
            return
        self._revisions.record(name, revision)
        self._known.unusable_ids.add(current.id)
        self._known.mark_leaving(current.id, "its entry can't be used", since, revision)


@callback
def _is_earlier_life(current: Target, reported: Target) -> bool:
    """Return whether an entry of a restored store is of a life before the current."""
    if era_of(reported.revision) == era_of(current.revision):
        return False
    current_start, reported_start = current.life.started_ms, reported.life.started_ms
    return (
        current_start is not None
        and reported_start is not None
        and reported_start < current_start
    )


@callback
def _was_draining(current: Target, reported: Target) -> bool:
    """Return whether a target was draining before the store was restored.

    The target writes this state again. Until then its restored entry is wrong, and
    requests would be sent after the target announced that it leaves.
    """
    is_restored = era_of(reported.revision) > era_of(current.revision)
    return is_restored and reported.id == current.id and current.is_draining


@callback
def _find_contradiction(current: Target, reported: Target) -> UnusableReason | None:
    """Return why an entry can't belong to the known target of its name, else None.

    An entry that another writer created without a start time would otherwise count as
    a new life, and all grants of the live target would count as ended.
    """
    if reported.life.started_ms is None and current.life.started_ms is not None:
        return UnusableReason.START
    if reported.id == current.id and reported.service != current.service:
        return UnusableReason.SERVICE
    return None
