"""Violation: an acknowledged assignment was lost."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.trace.assigned_event import AssignedEvent


@dataclass(frozen=True, kw_only=True, slots=True)
class AssignmentLost:
    """A record that was written after one with a higher or the same version."""

    earlier: AssignedEvent
    later: AssignedEvent

    def __str__(self) -> str:
        return (
            f"service={self.earlier.service} group={self.earlier.group} "
            f"earlier={_version(self.earlier)} later={_version(self.later)}"
        )


def _version(event: AssignedEvent) -> str:
    """Return a record's version and its writer."""
    return f"{event.term}.{event.revision}@{event.instance}[{event.at:.6f}]"
