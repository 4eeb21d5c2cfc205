"""Where ownership reports its decisions."""

from __future__ import annotations

from typing import Protocol

from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.ownership_decision import OwnershipDecision


class OwnershipEvents(Protocol):
    """Receiver of decisions and of acknowledged records; must not block."""

    def decided(self, decision: OwnershipDecision) -> None:
        """Take a decision for the log."""

    def assigned(self, record: GroupRecord, now: float) -> None:
        """Take a record whose write is known to have taken effect at `now`."""
