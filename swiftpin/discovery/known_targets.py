"""Known lives of targets and their state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.model.target import Target

RETENTION_TIME: Final = 120.0
"""Seconds after which a terminated life is removed: longer than any grant or request,
which end within 10 seconds."""


class KnownTargets:
    """Target lives by id, and the current life of each name."""

    def __init__(self) -> None:
        self.on_shared_address: Callable[[str], None] = _ignore
        """Called with the address of a new target if others may be at it."""

        self.targets_by_id: dict[str, Target] = {}
        self.seen_since_by_id: dict[str, float] = {}
        self.leaving_since_by_id: dict[str, float] = {}
        self.missing_since_by_id: dict[str, float] = {}
        """Time since which the entry of a life has been missing from the store."""

        self.cold_until_by_id: dict[str, float] = {}
        """Time until which each target declared itself cold."""

        self.unusable_ids: set[str] = set()
        """Lives whose entry exists but can't be used."""

        self.replaced_ids: set[str] = set()
        """Lives known to have terminated; all their grants ended with them."""

        self._ids_by_name: dict[str, str] = {}
        """Id of the current life of each name."""

    @callback
    def current_life(self, name: str) -> Target | None:
        """Return the newest life of a name."""
        target_id = self._ids_by_name.get(name)
        return None if target_id is None else self.targets_by_id[target_id]

    @callback
    def names(self) -> set[str]:
        """Return the names of all targets."""
        return set(self._ids_by_name)

    @callback
    def listed_targets(self) -> list[Target]:
        """Return the lives whose entries are in the store and can be used."""
        return [
            self.targets_by_id[target_id]
            for target_id in self._ids_by_name.values()
            if target_id not in self.missing_since_by_id
            and target_id not in self.unusable_ids
        ]

    @callback
    def targets_at(self, address: str) -> list[Target]:
        """Return the targets at an address that are not known to have terminated."""
        return [
            target
            for target in self.targets_by_id.values()
            if target.address == address and target.id not in self.replaced_ids
        ]

    @callback
    def put(self, target: Target, now: float) -> None:
        """Add or update a target from its entry."""
        previous = self.current_life(target.name)
        if previous is not None and previous.id != target.id:
            self._mark_restarted(previous, target, now)
        if target.id not in self.targets_by_id:
            if self.targets_at(target.address):
                self.on_shared_address(target.address)
            self.seen_since_by_id[target.id] = now
            log_message(
                message_type="target_found",
                target=target.id,
                service=target.service,
                zone=target.zone,
                revision=target.revision,
            )
        self.targets_by_id[target.id] = target
        self._update_cold_until(target, now)
        self._ids_by_name[target.name] = target.id
        self.missing_since_by_id.pop(target.id, None)
        self.unusable_ids.discard(target.id)

    @callback
    def _update_cold_until(self, target: Target, now: float) -> None:
        """Record until when a target is cold; it may become cold repeatedly."""
        if target.cold_for and self.cold_until_by_id.get(target.id, now) <= now:
            log_message(
                message_type="target_cold", target=target.id, seconds=target.cold_for
            )
        self.cold_until_by_id[target.id] = now + target.cold_for

    @callback
    def mark_leaving(
        self, target_id: str, reason: str, since: float, revision: int = 0
    ) -> None:
        """Mark a target as leaving, since the earliest reported time.

        `revision` is the store revision that showed it, 0 if there was none.
        """
        known_since = self.leaving_since_by_id.get(target_id)
        if known_since is not None:
            self.leaving_since_by_id[target_id] = min(known_since, since)
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
    def mark_serving(self, target_id: str) -> None:
        """Mark a target as no longer leaving, unless its life has terminated."""
        if target_id in self.replaced_ids:
            return
        if self.leaving_since_by_id.pop(target_id, None) is not None:
            log_message(message_type="target_back", target=target_id)

    @callback
    def mark_replaced(self, target_id: str, now: float) -> bool:
        """Mark a life as terminated; return whether this was not known before.

        Only an answer of another target at its address shows that. Another writer's
        entry may name the address of a live target.
        """
        if target_id in self.replaced_ids:
            return False
        self.replaced_ids.add(target_id)
        self.mark_leaving(target_id, "replaced at its address", now)
        return True

    @callback
    def remove(self, target_id: str) -> None:
        """Remove a life."""
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
    def expired_targets(self, now: float) -> list[Target]:
        """Return the lives without an entry that left over `RETENTION_TIME` ago."""
        return [
            target
            for target_id, target in self.targets_by_id.items()
            if target_id in self.missing_since_by_id
            and now - self.leaving_since_by_id.get(target_id, now) > RETENTION_TIME
        ]

    @callback
    def _mark_restarted(self, previous: Target, restarted: Target, now: float) -> None:
        """Mark a life as terminated because its target restarted."""
        log_message(
            message_type="target_restarted",
            target=restarted.id,
            former=previous.id,
            revision=restarted.revision,
        )
        self.replaced_ids.add(previous.id)
        self.missing_since_by_id.setdefault(previous.id, now)
        self.mark_leaving(previous.id, "started again", now, restarted.revision)


@callback
def _ignore(address: str) -> None:
    """Do nothing."""
