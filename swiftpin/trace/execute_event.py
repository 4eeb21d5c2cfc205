"""Trace event: an execution ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from swiftpin.trace.execution_outcome import ExecutionOutcome


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecuteEvent:
    """The end of the execution whose start has the same boot, request and time.

    `body_digest` is that of the answer, None when the target did not send the answer
    whole. Other fields are those of `StartEvent`; times are monotonic seconds.
    """

    kind: Literal["execute"] = "execute"
    target: str
    boot_id: str
    service: str
    key: str | None
    slice: int | None
    term: int | None
    request_id: str
    idempotency_key: str | None
    method: str
    start: float
    end: float
    outcome: ExecutionOutcome
    body_digest: str | None
    unchecked: bool = False
