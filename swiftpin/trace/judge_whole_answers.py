"""Judgement: callers get the whole answers to their own requests."""

from __future__ import annotations

from typing import Final

from swiftpin.result import ResultCode
from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.cut_answer import CutAnswer
from swiftpin.trace.execution import Execution
from swiftpin.trace.judgement import Judgement
from swiftpin.trace.trace_index import TraceIndex
from swiftpin.trace.verdict import Verdict
from swiftpin.trace.wrong_answer import WrongAnswer

ANSWERS_OF_TARGETS: Final = frozenset({ResultCode.ANSWERED, ResultCode.REPLAYED})


def judge_whole_answers(index: TraceIndex) -> Verdict:
    """Look at the answers that came from targets.

    One that passed for whole has to be what a target sent for the request. One that
    was visibly cut short is excused if the target did not send it whole, or if any
    process was killed while it was under way.
    """
    violations: list[WrongAnswer | CutAnswer] = []
    judged = 0
    for answer in index.answers:
        if answer.result not in ANSWERS_OF_TARGETS:
            continue
        judged += 1
        violation = _whole(index, answer) if answer.whole else _cut(index, answer)
        if violation is not None:
            violations.append(violation)
    return Verdict(
        judgement=Judgement.WHOLE_ANSWERS, judged=judged, violations=tuple(violations)
    )


def _whole(index: TraceIndex, answer: AnswerEvent) -> WrongAnswer | None:
    """Judge an answer that passed for whole."""
    sent = {execution.sent_digest for execution in _executions(index, answer)}
    if answer.body_digest in sent - {None}:
        return None
    digests = tuple(sorted(digest for digest in sent if digest is not None))
    return WrongAnswer(answer=answer, sent_digests=digests)


def _cut(index: TraceIndex, answer: AnswerEvent) -> CutAnswer | None:
    """Judge an answer that was visibly cut short."""
    executions = _executions(index, answer)
    if any(execution.sent_digest is None for execution in executions):
        return None
    if index.processes.was_any_killed_within(answer.sent, answer.at):
        return None
    return CutAnswer(answer=answer)


def _executions(index: TraceIndex, answer: AnswerEvent) -> list[Execution]:
    """Return the executions that the answer may stem from.

    The answer to a resend stems from an earlier request with its idempotency key.
    """
    executions = []
    if answer.request_id is not None:
        executions += index.executions_by_request.get(answer.request_id, [])
    if answer.idempotency_key is not None:
        key = (answer.service, answer.idempotency_key)
        executions += index.executions_by_idempotency_key.get(key, [])
    return executions
