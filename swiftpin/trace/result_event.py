"""Trace event: an instance answered a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from swiftpin.result import Executed


@dataclass(frozen=True, kw_only=True, slots=True)
class ResultEvent:
    """The numbered result that an instance gave; `at` is in monotonic seconds."""

    kind: Literal["result"] = "result"
    instance: str
    request_id: str
    service: str
    key: str | None
    idempotency_key: str | None
    result: int
    executed: Executed
    at: float
