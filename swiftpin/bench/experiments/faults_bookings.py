"""What became of a run's bookings."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from swiftpin.bench.load.caller import MAX_UNKNOWN_TRIES
from swiftpin.bench.load.class_result import ClassResult
from swiftpin.bench.load.request_kind import RequestKind
from swiftpin.result import Executed, ResultCode, executed_by_result
from swiftpin.trace.trace_event import TraceEvent
from swiftpin.trace.trace_index import TraceIndex

_BookingKey = tuple[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class BookingsSummary:
    """Counts of bookings, each with an idempotency key of its own.

    Of `scheduled` ones `answered` got the target's answer, `refused` were called the
    caller's mistake, `unknown` ended with an unknown outcome after several resends,
    and `unanswered` were still being sent again when the run ended. Of those that
    ended as unknown `unknown_ran` were executed, `unknown_not_run` certainly were
    not, and `unknown_maybe` died with their target. `unknown_share` is `unknown` over
    `scheduled`.
    """

    scheduled: int
    answered: int
    refused: int
    unknown: int
    unanswered: int
    unknown_ran: int
    unknown_not_run: int
    unknown_maybe: int
    unknown_share: float


def summarize_bookings(
    result: ClassResult, events: Iterable[TraceEvent]
) -> BookingsSummary:
    """Return the summary of a run from the load's counts and all its traces."""
    index = TraceIndex(events)
    ran = not_run = maybe = 0
    for key in _ended_as_unknown(index):
        executions = index.executions_by_idempotency_key.get(key, [])
        if any(execution.is_done for execution in executions):
            ran += 1
        elif any(execution.may_have_run for execution in executions):
            maybe += 1
        else:
            not_run += 1
    return BookingsSummary(
        scheduled=result.scheduled,
        answered=result.answered,
        refused=result.refused,
        unknown=result.unknown,
        unanswered=result.unanswered,
        unknown_ran=ran,
        unknown_not_run=not_run,
        unknown_maybe=maybe,
        unknown_share=result.unknown / max(result.scheduled, 1),
    )


def _ended_as_unknown(index: TraceIndex) -> list[_BookingKey]:
    """Return the bookings whose callers took "unknown" for the answer."""
    unknown_by_key: Counter[_BookingKey] = Counter()
    answered: set[_BookingKey] = set()
    for answer in index.answers:
        if answer.request_class != RequestKind.BOOKING or answer.result is None:
            continue
        key = (answer.service, answer.idempotency_key or "")
        if answer.result == ResultCode.OUTCOME_UNKNOWN:
            unknown_by_key[key] += 1
        elif executed_by_result(answer.result) is Executed.YES and answer.whole:
            answered.add(key)
    return [
        key
        for key, count in unknown_by_key.items()
        if count >= MAX_UNKNOWN_TRIES and key not in answered
    ]
