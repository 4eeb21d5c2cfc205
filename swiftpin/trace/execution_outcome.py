"""How an execution ended."""

from __future__ import annotations

from enum import StrEnum


class ExecutionOutcome(StrEnum):
    """Only `DONE` has changed the key's state; `CRASHED` may have."""

    DONE = "done"
    ABORTED = "aborted"
    CRASHED = "crashed"
    LAPSED = "lapsed"
