"""What a supervisor does to processes, as its trace names it."""

from __future__ import annotations

from enum import StrEnum


class ProcessEvent(StrEnum):
    """Kinds of lines in a supervisor's trace."""

    STARTED = "started"
    KILLED = "killed"
    FROZEN = "frozen"
    THAWED = "thawed"
    TERMINATED = "terminated"
