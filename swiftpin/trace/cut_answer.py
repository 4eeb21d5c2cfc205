"""Violation: an answer was cut short without a fault to explain it."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.trace.answer_event import AnswerEvent


@dataclass(frozen=True, kw_only=True, slots=True)
class CutAnswer:
    """An answer that a target sent whole and that its caller did not get whole."""

    answer: AnswerEvent

    def __str__(self) -> str:
        return (
            f"service={self.answer.service} request_id={self.answer.request_id} "
            f"sent_at={self.answer.sent:.6f} at={self.answer.at:.6f}"
        )
