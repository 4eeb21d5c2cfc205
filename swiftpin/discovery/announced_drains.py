"""Targets that announced in their answers that they are leaving."""

from __future__ import annotations

from collections.abc import Set

from eliot import log_message

from swiftpin.core import callback


class AnnouncedDrains:
    """Announcements of targets that they are leaving, by life id.

    They are independent of the entries in the store, which may be older than the
    answers or unavailable. Times are suspend-aware.
    """

    def __init__(self) -> None:
        self._heard_at_by_id: dict[str, float] = {}

    @callback
    def record_announcement(self, target_id: str, now: float) -> None:
        """Record that a target announced in an answer that it is leaving."""
        if target_id in self._heard_at_by_id:
            return
        self._heard_at_by_id[target_id] = now
        log_message(message_type="target_drain_announced", target=target_id)

    @callback
    def count(self) -> int:
        """Return the number of targets that announced that they are leaving."""
        return len(self._heard_at_by_id)

    @callback
    def retain_targets(self, target_ids: Set[str]) -> None:
        """Drop the announcements of all other targets."""
        for target_id in self._heard_at_by_id.keys() - target_ids:
            del self._heard_at_by_id[target_id]
