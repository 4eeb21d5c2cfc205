"""Violation: a caller got another body than the target sent."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.trace.answer_event import AnswerEvent


@dataclass(frozen=True, kw_only=True, slots=True)
class WrongAnswer:
    """An answer that passed for whole, and the digests that targets sent for it.

    No digest at all means that no target sent a whole answer to the request.
    """

    answer: AnswerEvent
    sent_digests: tuple[str, ...]

    def __str__(self) -> str:
        return (
            f"service={self.answer.service} request_id={self.answer.request_id} "
            f"received={self.answer.body_digest} sent={','.join(self.sent_digests)}"
        )
