"""Processor time and memory of a process."""

from __future__ import annotations

from dataclasses import dataclass
import os
from pathlib import Path
from typing import Final

TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
PAGE_SIZE: Final = os.sysconf("SC_PAGE_SIZE")
# Positions in /proc/<pid>/stat after the command's closing parenthesis.
FIELD_USER_TICKS: Final = 11
FIELD_SYSTEM_TICKS: Final = 12
FIELD_RESIDENT_PAGES: Final = 21


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Processor time in seconds since the start, and resident memory in bytes."""

    cpu: float
    resident: int


def read_usage(pid: int) -> Usage:
    """Return the usage of a process; raises `FileNotFoundError` once it is gone."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    # The command's name may hold blanks and parentheses; the fields after its last
    # closing parenthesis cannot.
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[FIELD_USER_TICKS]) + int(fields[FIELD_SYSTEM_TICKS])
    return Usage(
        cpu=ticks / TICKS_PER_SECOND,
        resident=int(fields[FIELD_RESIDENT_PAGES]) * PAGE_SIZE,
    )
