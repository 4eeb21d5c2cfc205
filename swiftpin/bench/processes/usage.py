"""Processor time, memory and traffic of a process."""

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
    """Processor time in seconds since the start, and bytes.

    `resident` is memory; `written` and `read` count all that went through sockets,
    files and pipes since the start.
    """

    cpu: float
    resident: int
    written: int
    read: int


def read_usage(pid: int) -> Usage:
    """Return the usage of a process; raises `FileNotFoundError` once it is gone."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    # The command's name may hold blanks and parentheses; the fields after its last
    # closing parenthesis cannot.
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[FIELD_USER_TICKS]) + int(fields[FIELD_SYSTEM_TICKS])
    traffic = _read_traffic(pid)
    return Usage(
        cpu=ticks / TICKS_PER_SECOND,
        resident=int(fields[FIELD_RESIDENT_PAGES]) * PAGE_SIZE,
        written=traffic["wchar"],
        read=traffic["rchar"],
    )


def _read_traffic(pid: int) -> dict[str, int]:
    """Return the kernel's counts of bytes by their names in /proc."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    pairs = [line.split(": ") for line in lines]
    return {name: int(value) for name, value in pairs}
