"""Lives of targets that are known, and what has become of them."""

from __future__ import annotations

from collections.abc import Set
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.model.store_revision import era_of
from swiftpin.model.target import Target

FORGET_AFTER: Final = 120.0
"""Seconds after which a life that has ended is dropped: beyond every grant and request,
which end within 10 s."""


class KnownTargets:
    """Lives by id, and the present life of each name."""

    def __init__(self) -> None:
        self.targets_by_id: dict[str, Target] = {}
        self.seen_since_by_id: dict[str, float] = {}
        self.leaving_since_by_id: dict[str, float] = {}
        self.missing_since_by_id: dict[str, float] = {}
        """When the entry was first seen missing, of lives whose entry is missing."""

        self.cold_until_by_id: dict[str, float] = {}
        """Until when targets said they would be cold."""

        self.unusable_ids: set[str] = set()
        """Lives whose entry is there and can't be used."""

        self.replaced_ids: set[str] = set()
        """Lives that have ended for certain: what was granted to them ended too."""

        self._service_names: frozenset[str] = frozenset()
        self._ids_by_name: dict[str, str] = {}
        """The newest life of each name."""

    @callback
    def present_life(self, name: str) -> Target | None:
        """Return the newest life of a name."""
        target_id = self._ids_by_name.get(name)
        return None if target_id is None else self.targets_by_id[target_id]

    @callback
    def names(self) -> set[str]:
        """Return the names of all targets."""
        return set(self._ids_by_name)

    @callback
    def listed(self) -> list[Target]:
        """Return the lives whose entries are in the store and can be used."""
        return [
            self.targets_by_id[target_id]
            for target_id in self._ids_by_name.values()
            if target_id not in self.missing_since_by_id
            and target_id not in self.unusable_ids
        ]

    @callback
    def set_services(self, names: Set[str], now: float) -> bool:
        """Take the names of the declared services; return whether some are new.

        Until a service is declared, an entry of it replaces nobody at its address: it
        may be another writer's, and would end a live target for all instances.
        """
        added = names - self._service_names
        self._service_names = frozenset(names)
        for target in list(self.targets_by_id.values()):
            if target.service in added:
                self._note_same_address(target, now)
        return bool(added)

    @callback
    def put(self, target: Target, now: float) -> None:
        """Take a target as its entry tells it."""
        former = self.present_life(target.name)
        if former is not None and former.id != target.id:
            self._end(former, target, now)
        if target.id not in self.targets_by_id:
            self._note_same_address(target, now)
            self.seen_since_by_id[target.id] = now
            log_message(
                message_type="target_found",
                target=target.id,
                service=target.service,
                zone=target.zone,
                revision=target.revision,
            )
        self.targets_by_id[target.id] = target
        self._note_cold(target, now)
        self._ids_by_name[target.name] = target.id
        self.missing_since_by_id.pop(target.id, None)
        self.unusable_ids.discard(target.id)

    @callback
    def _note_cold(self, target: Target, now: float) -> None:
        """Note until when a target is cold; it may be so more than once."""
        if target.cold_for and self.cold_until_by_id.get(target.id, now) <= now:
            log_message(
                message_type="target_cold", target=target.id, seconds=target.cold_for
            )
        self.cold_until_by_id[target.id] = now + target.cold_for

    @callback
    def note_leaving(
        self, target_id: str, reason: str, since: float, revision: int = 0
    ) -> None:
        """Note that a target leaves, since the earliest time that is told.

        `revision` is that of the store at which it was learnt, 0 if it was met.
        """
        known = self.leaving_since_by_id.get(target_id)
        if known is not None:
            self.leaving_since_by_id[target_id] = min(known, since)
            return
        self.leaving_since_by_id[target_id] = since
        log_message(
            message_type="target_leaving",
            target=target_id,
            reason=reason,
            since=since,
            revision=revision,
        )

    @callback
    def note_back(self, target_id: str) -> None:
        """Note that a target serves, unless it has ended."""
        if target_id in self.replaced_ids:
            return
        if self.leaving_since_by_id.pop(target_id, None) is not None:
            log_message(message_type="target_back", target=target_id)

    @callback
    def note_replaced(self, target_id: str, now: float) -> bool:
        """Note that a life has ended; return whether that is new."""
        if target_id in self.replaced_ids:
            return False
        self.replaced_ids.add(target_id)
        self.note_leaving(target_id, "replaced at its address", now)
        return True

    @callback
    def forget(self, target_id: str) -> None:
        """Drop a life."""
        target = self.targets_by_id.pop(target_id, None)
        if target is not None and self._ids_by_name.get(target.name) == target_id:
            del self._ids_by_name[target.name]
        self.leaving_since_by_id.pop(target_id, None)
        self.seen_since_by_id.pop(target_id, None)
        self.cold_until_by_id.pop(target_id, None)
        self.missing_since_by_id.pop(target_id, None)
        self.unusable_ids.discard(target_id)
        self.replaced_ids.discard(target_id)

    @callback
    def ended_long_ago(self, now: float) -> list[Target]:
        """Return lives that nothing needs any more: their entries went long ago."""
        return [
            target
            for target_id, target in self.targets_by_id.items()
            if target_id in self.missing_since_by_id
            and now - self.leaving_since_by_id.get(target_id, now) > FORGET_AFTER
        ]

    @callback
    def _end(self, former: Target, newcomer: Target, now: float) -> None:
        """End a life whose name another one bears by now."""
        log_message(
            message_type="target_restarted",
            target=newcomer.id,
            former=former.id,
            revision=newcomer.revision,
        )
        self.replaced_ids.add(former.id)
        self.missing_since_by_id.setdefault(former.id, now)
        self.note_leaving(former.id, "started again", now, newcomer.revision)

    @callback
    def _note_same_address(self, newcomer: Target, now: float) -> None:
        """Note which of two targets at one address is gone: the older entry's.

        A list is in the order of names; it may name a target that crashed after the one
        that has its address by now. Entries of services that nobody declared don't
        count.
        """
        if newcomer.service not in self._service_names:
            return
        for target in list(self.targets_by_id.values()):
            if target.address != newcomer.address or target.id == newcomer.id:
                continue
            if target.service not in self._service_names:
                continue
            if era_of(target.revision) != era_of(newcomer.revision):
                # A restored store may still list who had the address before.
                continue
            is_older = target.revision < newcomer.revision
            self.note_replaced(target.id if is_older else newcomer.id, now)
