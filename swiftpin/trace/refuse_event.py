"""Trace event: a target refused a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseEvent:
    """`why` is the value of `Target-Refusal`; `at` is in monotonic seconds."""

    kind: Literal["refuse"] = "refuse"
    target: str
    request_id: str
    why: str
    at: float
