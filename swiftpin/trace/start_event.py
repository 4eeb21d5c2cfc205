"""Trace event: an execution starts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, kw_only=True, slots=True)
class StartEvent:
    """Written before the work, so that a crash leaves a start without an end.

    `slice` and `term` (the group's) are None for services without keys. `unchecked`
    targets do not look at grants. `start` is in monotonic seconds.
    """

    kind: Literal["start"] = "start"
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
    unchecked: bool = False
