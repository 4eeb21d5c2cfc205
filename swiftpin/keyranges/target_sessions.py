"""The sessions with a service's targets, one for each life."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.keyranges.target_session import TargetSession
from swiftpin.model.target import Target


class TargetSessions:
    """Sessions by id of a target's life, and what the directory tells of other lives.

    A target is gone once another one has answered at its address, not when an entry in
    the store names its address or its name. The entry may be another writer's, and a
    new life of the target may have been given keys by calls meant for the earlier.
    """

    def __init__(self, directory: TargetDirectory) -> None:
        self._directory = directory
        self._sessions_by_target: dict[str, TargetSession] = {}

    @callback
    def get_or_create(self, target_id: str) -> TargetSession:
        """Return the session with a life of a target."""
        session = self._sessions_by_target.get(target_id)
        if session is None:
            session = self._sessions_by_target[target_id] = TargetSession()
        return session

    @callback
    def other_life(self, target_id: str) -> Target | None:
        """Return another known life of the same target, the present one if there is."""
        lives = [
            target
            for target in self._directory.targets_by_id.values()
            if target.id != target_id and target.life.is_same_target(target_id)
        ]
        replaced_ids = self._directory.replaced_ids
        return min(lives, key=lambda life: life.id in replaced_ids, default=None)

    @callback
    def is_lost(self, target_id: str, now: float) -> bool:
        """Return whether a target's keys should go elsewhere."""
        session = self._sessions_by_target.get(target_id)
        return session is not None and session.is_lost(now)

    @callback
    def prune(self, needed_ids: set[str], now: float) -> None:
        """Drop sessions with targets that are gone and hold nothing any more."""
        known_ids = needed_ids | self._directory.targets_by_id.keys()
        for target_id in self._sessions_by_target.keys() - known_ids:
            if now >= self._sessions_by_target[target_id].held_until:
                del self._sessions_by_target[target_id]
