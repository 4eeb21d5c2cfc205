"""Log and trace of decisions about ownership."""

from __future__ import annotations

from eliot import log_message

from swiftpin.core import callback
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.ownership_decision import OwnershipDecision
from swiftpin.trace.assigned_event import AssignedEvent
from swiftpin.trace.writer import TraceWriter


class OwnershipLog:
    """Receives ownership's decisions (`OwnershipEvents`)."""

    def __init__(self, instance_id: str, trace: TraceWriter | None) -> None:
        self._instance_id = instance_id
        self._trace = trace

    @callback
    def decided(self, decision: OwnershipDecision) -> None:
        """Log a decision."""
        log_message(
            message_type=decision.event,
            service=decision.group.service,
            group=decision.group.group,
            term=decision.term,
            target=decision.target,
            slices=decision.slices,
            reason=decision.reason,
        )

    @callback
    def assigned(self, record: GroupRecord, now: float) -> None:
        """Log and trace a record that took effect."""
        log_message(
            message_type="assigned",
            service=record.id.service,
            group=record.id.group,
            term=record.term,
            revision=record.revision,
            holder=record.holder,
            successor=record.successor,
            reason=record.reason,
        )
        if self._trace is not None:
            self._trace.write(self._event(record, now))

    def _event(self, record: GroupRecord, now: float) -> AssignedEvent:
        """Return the trace event of a record."""
        slices_by_target: dict[str, list[int]] = {}
        for slice_id, assignment in record.slices_by_id.items():
            slices_by_target.setdefault(assignment.target, []).append(slice_id)
        return AssignedEvent(
            instance=self._instance_id,
            service=record.id.service,
            group=record.id.group,
            term=record.term,
            revision=record.revision,
            targets={
                target: tuple(sorted(slices))
                for target, slices in slices_by_target.items()
            },
            at=now,
        )
