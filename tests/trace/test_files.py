"""Tests of writing and reading trace files."""

from __future__ import annotations

from pathlib import Path

import pytest

from swiftpin.result import Executed
from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.assigned_event import AssignedEvent
from swiftpin.trace.execute_event import ExecuteEvent
from swiftpin.trace.execution_outcome import ExecutionOutcome
from swiftpin.trace.owned_event import OwnedEvent
from swiftpin.trace.reader import read_trace, read_traces
from swiftpin.trace.refuse_event import RefuseEvent
from swiftpin.trace.release_reason import ReleaseReason
from swiftpin.trace.released_event import ReleasedEvent
from swiftpin.trace.result_event import ResultEvent
from swiftpin.trace.slice_term import SliceTerm
from swiftpin.trace.start_event import StartEvent
from swiftpin.trace.supervisor_event import SupervisorEvent
from swiftpin.trace.trace_event import TraceEvent
from swiftpin.trace.writer import TraceWriter, encode_event

EVENTS: list[TraceEvent] = [
    OwnedEvent(
        target="t",
        boot_id="b",
        service="s",
        group=1,
        slices=(SliceTerm(7, 2), SliceTerm(8, 3)),
        term=4,
        at=1.5,
    ),
    ReleasedEvent(
        target="t",
        boot_id="b",
        service="s",
        group=1,
        slices=(7,),
        at=1.5,
        why=ReleaseReason.LAPSED,
    ),
    StartEvent(
        target="t",
        boot_id="b",
        service="s",
        key=None,
        slice=None,
        term=None,
        request_id="r",
        idempotency_key=None,
        method="GET",
        start=1.5,
        unchecked=True,
    ),
    ExecuteEvent(
        target="t",
        boot_id="b",
        service="s",
        key="k",
        slice=7,
        term=4,
        request_id="r",
        idempotency_key="u",
        method="PUT",
        start=1.5,
        end=1.6,
        outcome=ExecutionOutcome.DONE,
        body_digest="d",
    ),
    RefuseEvent(target="t", request_id="r", why="shed", at=1.5),
    AssignedEvent(
        instance="i/aa",
        service="s",
        group=1,
        term=4,
        revision=2,
        targets={"t": (7, 8)},
        at=1.5,
    ),
    ResultEvent(
        instance="i/aa",
        request_id="r",
        service="s",
        key="k",
        idempotency_key=None,
        result=301,
        executed=Executed.NO,
        at=1.5,
    ),
    AnswerEvent(
        request_id=None,
        service="s",
        key="k",
        idempotency_key=None,
        request_class="lookup",
        status=None,
        result=None,
        executed=None,
        body_digest=None,
        whole=False,
        sent=1.5,
        at=1.6,
    ),
    SupervisorEvent(kind="frozen", name="t", at=1.5),
]


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.kind)
def test_written_event_is_read_back(event: TraceEvent, tmp_path: Path) -> None:
    """Every kind of event survives its file."""
    path = tmp_path / "t.jsonl"
    writer = TraceWriter(path)
    writer.write(event)
    writer.close()
    assert list(read_trace(path)) == [event]


def test_class_of_a_request_has_its_name_in_json() -> None:
    """`class` is a word of the language, so the data class names it otherwise."""
    answer = next(event for event in EVENTS if isinstance(event, AnswerEvent))
    assert b'"class":"lookup"' in encode_event(answer)


def test_event_is_on_disk_before_the_writer_closes(tmp_path: Path) -> None:
    """The last events before a kill are missing from a trace.

    A process writes an event and is killed at once. Cause: the event stood in a
    buffer of the process.
    """
    path = tmp_path / "t.jsonl"
    writer = TraceWriter(path)
    writer.write(EVENTS[0])
    assert list(read_trace(path)) == EVENTS[:1]
    writer.close()


def test_writers_append_to_one_file(tmp_path: Path) -> None:
    """A target that starts again goes on in its file."""
    path = tmp_path / "t.jsonl"
    for event in EVENTS:
        writer = TraceWriter(path)
        writer.write(event)
        writer.close()
    assert read_traces([path, path]) == [*EVENTS, *EVENTS]


def test_event_after_the_close_is_left_out(tmp_path: Path) -> None:
    """A late callback of a stopped process does no harm."""
    path = tmp_path / "t.jsonl"
    writer = TraceWriter(path)
    writer.close()
    writer.write(EVENTS[0])
    assert path.read_bytes() == b""


def test_unfinished_last_line_is_left_out(tmp_path: Path) -> None:
    """A trace cannot be read after a kill.

    The process is killed within a write. Cause: half a line is no event.
    """
    path = tmp_path / "t.jsonl"
    path.write_bytes(encode_event(EVENTS[0]) + b'{"kind":"st')
    assert list(read_trace(path)) == EVENTS[:1]
