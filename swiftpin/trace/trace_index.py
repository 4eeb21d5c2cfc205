"""Events of a trace, sorted out for the judgements."""

from __future__ import annotations

from collections.abc import Iterable

from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.assigned_event import AssignedEvent
from swiftpin.trace.execute_event import ExecuteEvent
from swiftpin.trace.execution import Execution
from swiftpin.trace.owned_event import OwnedEvent
from swiftpin.trace.process_history import ProcessHistory
from swiftpin.trace.released_event import ReleasedEvent
from swiftpin.trace.start_event import StartEvent
from swiftpin.trace.supervisor_event import SupervisorEvent
from swiftpin.trace.trace_event import TraceEvent

OwnershipEvent = OwnedEvent | ReleasedEvent
_ExecutionKey = tuple[str, str, str, float]


class TraceIndex:
    """Events by what they are about, each list in the order of its files."""

    def __init__(self, events: Iterable[TraceEvent]) -> None:
        self.ownership: list[OwnershipEvent] = []
        self.answers: list[AnswerEvent] = []
        self.assignments: list[AssignedEvent] = []
        self.last_seen_by_boot: dict[tuple[str, str], float] = {}
        self._starts: list[StartEvent] = []
        self._ends_by_key: dict[_ExecutionKey, list[ExecuteEvent]] = {}
        supervisor_events: list[SupervisorEvent] = []
        for event in events:
            if isinstance(event, SupervisorEvent):
                supervisor_events.append(event)
            else:
                self._add(event)
        self.processes = ProcessHistory(supervisor_events)
        self.executions = [self._execution(start) for start in self._starts]
        self.executions_by_request: dict[str, list[Execution]] = {}
        self.executions_by_idempotency_key: dict[tuple[str, str], list[Execution]] = {}
        self._index_executions()

    def _add(self, event: TraceEvent) -> None:
        """Sort out one event."""
        match event:
            case OwnedEvent() | ReleasedEvent():
                self.ownership.append(event)
                self._see(event.target, event.boot_id, event.at)
            case StartEvent():
                self._starts.append(event)
                self._see(event.target, event.boot_id, event.start)
            case ExecuteEvent():
                self._ends_by_key.setdefault(_key(event), []).append(event)
                self._see(event.target, event.boot_id, event.end)
            case AnswerEvent():
                self.answers.append(event)
            case AssignedEvent():
                self.assignments.append(event)

    def _see(self, target: str, boot_id: str, at: float) -> None:
        """Note that a boot of a target showed life."""
        boot = (target, boot_id)
        last = self.last_seen_by_boot.get(boot, at)
        self.last_seen_by_boot[boot] = max(last, at)

    def _execution(self, start: StartEvent) -> Execution:
        """Return the execution that began with the start."""
        ends = self._ends_by_key.get(_key(start))
        return Execution(start=start, end=ends.pop() if ends else None)

    def _index_executions(self) -> None:
        """Sort out the executions."""
        for execution in self.executions:
            start = execution.start
            self.executions_by_request.setdefault(start.request_id, []).append(
                execution
            )
            if start.idempotency_key is not None:
                key = (start.service, start.idempotency_key)
                self.executions_by_idempotency_key.setdefault(key, []).append(execution)


def _key(event: StartEvent | ExecuteEvent) -> _ExecutionKey:
    """Return what a start and its end have in common."""
    return (event.target, event.boot_id, event.request_id, event.start)
