"""Sessions with a service's targets, one per target life."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.keyranges.target_session import TargetSession
from swiftpin.model.target import Target


class TargetSessions:
    """Holds the sessions by target life and finds other lives of a target.

    A target counts as gone once another one has answered at its address, not when an
    entry in the store has its address or name. The entry may be from another writer,
    and a new life may have received keys by calls that were meant for the earlier one.
    """

    def __init__(self, directory: TargetDirectory) -> None:
        self._directory = directory
        self._sessions_by_target: dict[str, TargetSession] = {}

    @callback
    def get_or_create(self, target_id: str) -> TargetSession:
        """Return the session with a target life, creating it if necessary."""
        session = self._sessions_by_target.get(target_id)
        if session is None:
            session = self._sessions_by_target[target_id] = TargetSession()
        return session

    @callback
    def other_life(self, target_id: str) -> Target | None:
        """Return another known life of the same target, preferably the present one."""
        lives = [
            target
            for target in self._directory.targets_by_id.values()
            if target.id != target_id and target.life.is_same_target(target_id)
        ]
        replaced_ids = self._directory.replaced_ids
        return min(lives, key=lambda life: life.id in replaced_ids, default=None)

    @callback
    def is_lost(self, target_id: str, now: float) -> bool:
        """Return whether a target's keys should be moved to other targets."""
        session = self._sessions_by_target.get(target_id)
        return session is not None and session.is_lost(now)

    @callback
    def prune(self, needed_ids: set[str], now: float) -> None:
        """Drop sessions of unneeded, unknown lives whose grants have expired."""
        known_ids = needed_ids | self._directory.targets_by_id.keys()
        for target_id in self._sessions_by_target.keys() - known_ids:
            if now >= self._sessions_by_target[target_id].held_until:
                del self._sessions_by_target[target_id]
