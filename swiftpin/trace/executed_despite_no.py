"""Violation: a request was called not executed although it was."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.execution import Execution


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutedDespiteNo:
    """An answer that said `no`, and an execution that it denies."""

    answer: AnswerEvent
    execution: Execution

    def __str__(self) -> str:
        return (
            f"service={self.answer.service} request_id={self.answer.request_id} "
            f"idempotency_key={self.answer.idempotency_key} "
            f"answered_at={self.answer.at:.6f} execution={self.execution}"
        )
