"""What confirms the holder of a cooperative group."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True, kw_only=True, slots=True)
class CooperativeConfirmation:
    """Monotonic times (seconds) before the sends that confirmed the holder.

    `at` is of the last heartbeat that the successor acknowledged or the last store
    call that showed the record unchanged; `store_at` of the last such store call.
    """

    at: float
    store_at: float

    def by_successor(self, sent_at: float) -> CooperativeConfirmation:
        """Return the state after an acknowledged heartbeat sent at that time."""
        return replace(self, at=max(self.at, sent_at))

    def by_store(self, sent_at: float) -> CooperativeConfirmation:
        """Return the state after a store call sent at that time."""
        return replace(
            self, at=max(self.at, sent_at), store_at=max(self.store_at, sent_at)
        )
