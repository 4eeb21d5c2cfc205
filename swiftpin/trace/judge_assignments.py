"""Judgement: an assignment that was acknowledged is never lost."""

from __future__ import annotations

from collections.abc import Iterator

from swiftpin.ownership.group_id import GroupId
from swiftpin.trace.assigned_event import AssignedEvent
from swiftpin.trace.assignment_lost import AssignmentLost
from swiftpin.trace.judgement import Judgement
from swiftpin.trace.process_history import ProcessHistory
from swiftpin.trace.trace_index import TraceIndex
from swiftpin.trace.verdict import Verdict


def judge_assignments(index: TraceIndex) -> Verdict:
    """Look at the records of each group in the order of their acknowledgement."""
    events_by_group: dict[GroupId, list[AssignedEvent]] = {}
    for event in index.assignments:
        group = GroupId(service=event.service, group=event.group)
        events_by_group.setdefault(group, []).append(event)
    violations: list[AssignmentLost] = []
    for events in events_by_group.values():
        violations.extend(_lost(events, index.processes))
    return Verdict(
        judgement=Judgement.ASSIGNMENTS,
        judged=len(index.assignments),
        violations=tuple(violations),
    )


def _lost(
    events: list[AssignedEvent], processes: ProcessHistory
) -> Iterator[AssignmentLost]:
    """Yield the records that do not come after all earlier ones."""
    highest: AssignedEvent | None = None
    by_version: dict[tuple[int, int], AssignedEvent] = {}
    for event in sorted(events, key=lambda event: event.at):
        first = by_version.setdefault(_version(event), event)
        if first is not event:
            if not _is_same_write(first, event):
                yield AssignmentLost(earlier=first, later=event)
            continue
        if highest is None or _version(event) > _version(highest):
            highest = event
        elif not _is_late_news(highest, event, processes):
            yield AssignmentLost(earlier=highest, later=event)


def _version(event: AssignedEvent) -> tuple[int, int]:
    """Return the record's term and revision."""
    return (event.term, event.revision)


def _is_same_write(first: AssignedEvent, again: AssignedEvent) -> bool:
    """Return whether one write was acknowledged twice, as after a lost answer."""
    return first.instance == again.instance and first.targets == again.targets


def _is_late_news(
    highest: AssignedEvent, event: AssignedEvent, processes: ProcessHistory
) -> bool:
    """Return whether a frozen writer only noted late that its write took effect.

    The write came before the higher one and its answer waited in the socket of a
    process that stood still when the higher one was made.
    """
    if event.instance == highest.instance:
        return False
    name = event.instance.partition("/")[0]
    return processes.was_frozen_within(name, highest.at, event.at)
