"""Trace event of one try."""

from __future__ import annotations

from swiftpin.bench.load.load_request import LoadRequest
from swiftpin.bench.load.try_answer import TryAnswer
from swiftpin.trace.answer_event import AnswerEvent


def answer_event(request: LoadRequest, answer: TryAnswer) -> AnswerEvent:
    """Return the event that records what a caller got for one try."""
    return AnswerEvent(
        request_id=answer.request_id,
        service=request.load_class.service,
        key=request.key,
        idempotency_key=request.idempotency_key,
        request_class=request.load_class.kind.value,
        status=answer.status,
        result=answer.result,
        executed=answer.executed,
        body_digest=answer.body_digest,
        whole=answer.whole,
        sent=answer.sent,
        at=answer.at,
    )
