"""Union of the trace events."""

from __future__ import annotations

from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.assigned_event import AssignedEvent
from swiftpin.trace.execute_event import ExecuteEvent
from swiftpin.trace.owned_event import OwnedEvent
from swiftpin.trace.refuse_event import RefuseEvent
from swiftpin.trace.released_event import ReleasedEvent
from swiftpin.trace.result_event import ResultEvent
from swiftpin.trace.start_event import StartEvent
from swiftpin.trace.supervisor_event import SupervisorEvent

TraceEvent = (
    OwnedEvent
    | ReleasedEvent
    | StartEvent
    | ExecuteEvent
    | RefuseEvent
    | AssignedEvent
    | ResultEvent
    | AnswerEvent
    | SupervisorEvent
)
