"""Judgement: a request that was called not executed was not executed."""

from __future__ import annotations

from collections.abc import Iterator

from swiftpin.result import Executed
from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.executed_despite_no import ExecutedDespiteNo
from swiftpin.trace.execution import Execution
from swiftpin.trace.judgement import Judgement
from swiftpin.trace.trace_index import TraceIndex
from swiftpin.trace.verdict import Verdict


def judge_not_run(index: TraceIndex, repeatable_services: frozenset[str]) -> Verdict:
    """Look at the answers that said `no`.

    An execution that its target refused at the end, because its grant had lapsed,
    changed nothing and may be called not executed.
    """
    violations: list[ExecutedDespiteNo] = []
    judged = 0
    for answer in index.answers:
        if answer.executed is not Executed.NO:
            continue
        judged += 1
        execution = next(_denied(index, answer, repeatable_services), None)
        if execution is not None:
            violations.append(ExecutedDespiteNo(answer=answer, execution=execution))
    return Verdict(
        judgement=Judgement.NOT_RUN, judged=judged, violations=tuple(violations)
    )


def _denied(
    index: TraceIndex, answer: AnswerEvent, repeatable_services: frozenset[str]
) -> Iterator[Execution]:
    """Yield the executions that the answer denies.

    With the request's own id at any time, as late ones belie the answer, too; with
    its idempotency key before the answer.
    """
    if answer.request_id is not None:
        for execution in index.executions_by_request.get(answer.request_id, []):
            if not execution.is_refused:
                yield execution
    if answer.idempotency_key is None or answer.service in repeatable_services:
        return
    key = (answer.service, answer.idempotency_key)
    for execution in index.executions_by_idempotency_key.get(key, []):
        if execution.start.start <= answer.at and not execution.is_refused:
            yield execution
