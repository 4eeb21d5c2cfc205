"""Exit statuses of the operators' command."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the command tells the shell; see docs/operators/declarations-how-to.md."""

    OK = 0
    DEGRADED = 1
    WRONG_USE = 2
    LOST_RACE = 3
    STORE_UNREACHABLE = 4
    OUTCOME_UNKNOWN = 5
    INTERRUPTED = 130
