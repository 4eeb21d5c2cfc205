"""Targets that announced in their answers that they are leaving."""

from __future__ import annotations

from collections.abc import Callable, Set

from eliot import log_message

from swiftpin.core import callback


class AnnouncedDrains:
    """Announcements of targets that they are leaving, by life id.

    A first announcement limits for how long this instance sends to the target. Other
    instances are told, and keys are moved, only after it was confirmed: otherwise one
    spoilt answer would take a sound target from all.

    Announcements are independent of the entries in the store, which may be older than
    the answers or unavailable. A confirmed one holds until the life is gone. Times are
    suspend-aware.
    """

    def __init__(self, drain_limit: float) -> None:
        self.confirmed_ids: set[str] = set()
        """Lives that are leaving by two answers, or by the report of an instance."""

        self.on_unconfirmed: Callable[[str], None] = _ignore
        """Called with a life whose first announcement has to be confirmed."""

        self.on_confirmed: Callable[[str], None] = _ignore
        """Called with a life whose announcement this instance has confirmed."""

        self._drain_limit = drain_limit
        self._announced_at_by_id: dict[str, float] = {}

    @callback
    def set_drain_limit(self, drain_limit: float) -> None:
        """Set the seconds for which requests may follow an announcement."""
        self._drain_limit = drain_limit

    @callback
    def may_send(self, target_id: str, now: float) -> bool:
        """Return whether this instance may still send requests to a target.

        Other instances may have got an announcement earlier or later.
        """
        announced_at = self._announced_at_by_id.get(target_id)
        return announced_at is None or now - announced_at < self._drain_limit

    @callback
    def is_unconfirmed(self, target_id: str) -> bool:
        """Return whether there was one announcement of a target and no second."""
        return target_id in self._announced_at_by_id.keys() - self.confirmed_ids

    @callback
    def count(self) -> int:
        """Return the number of targets that announced in answers to this instance."""
        return len(self._announced_at_by_id)

    @callback
    def record_announcement(self, target_id: str, now: float) -> None:
        """Record that a target announced in an answer that it is leaving."""
        is_first = target_id not in self._announced_at_by_id
        if is_first:
            self._announced_at_by_id[target_id] = now
            log_message(message_type="target_drain_announced", target=target_id)
        if target_id in self.confirmed_ids:
            return
        if is_first:
            self.on_unconfirmed(target_id)
            return
        self._confirm(target_id, "answer")
        self.on_confirmed(target_id)

    @callback
    def record_absence(self, target_id: str, asked_at: float) -> None:
        """Record that an answer, asked for at a time, announced nothing.

        A target that leaves says so in all answers, so an unconfirmed announcement from
        before was spoilt.
        """
        announced_at = self._announced_at_by_id.get(target_id)
        if (
            announced_at is None
            or asked_at <= announced_at
            or target_id in self.confirmed_ids
        ):
            return
        del self._announced_at_by_id[target_id]
        log_message(
            message_type="target_drain_refuted", level="warning", target=target_id
        )

    @callback
    def record_report(self, target_id: str) -> bool:
        """Record that another instance confirmed a drain; return whether it is news."""
        if target_id in self.confirmed_ids:
            return False
        self._confirm(target_id, "peer")
        return True

    @callback
    def retain_targets(self, target_ids: Set[str]) -> None:
        """Drop the announcements of all other targets."""
        self.confirmed_ids &= target_ids
        for target_id in self._announced_at_by_id.keys() - target_ids:
            del self._announced_at_by_id[target_id]

    @callback
    def _confirm(self, target_id: str, source: str) -> None:
        """Record that a target is leaving."""
        self.confirmed_ids.add(target_id)
        log_message(
            message_type="target_drain_confirmed", target=target_id, source=source
        )


@callback
def _ignore(target_id: str) -> None:
    """Do nothing."""
