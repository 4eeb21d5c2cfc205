"""Trace event: a caller received an answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from swiftpin.result import Executed


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerEvent:
    """What a caller got.

    `request_class` (in JSON `class`) is the caller's name for the kind of request.
    `request_id`, `status`, `result` and `executed` are None when no answer came.
    `body_digest` is that of the body received; `whole` tells whether all of it came.
    `sent` and `at` are in monotonic seconds.
    """

    kind: Literal["answer"] = "answer"
    request_id: str | None
    service: str
    key: str | None
    idempotency_key: str | None
    request_class: Annotated[str, Field(alias="class")]
    status: int | None
    result: int | None
    executed: Executed | None
    body_digest: str | None
    whole: bool
    sent: float
    at: float
