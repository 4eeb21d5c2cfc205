"""State of the model of shares."""

from __future__ import annotations

from typing import Final, NamedTuple

PROCESSES: Final = 3
WINDOW: Final = 2
"""Ticks per window of the limit."""

MAX_SILENT_TICKS: Final = 1
"""Ticks without contact to a holder after which a process is cut off."""

REPORT_DELAY: Final = MAX_SILENT_TICKS + 1
SETTLE_TIME: Final = WINDOW + REPORT_DELAY
LIMIT: Final = 6
"""Amount that all processes together may spend per window."""

NEVER_HEARD: Final = MAX_SILENT_TICKS + 1


class Process(NamedTuple):
    """One process of an instance."""

    is_linked: bool = False
    silent_ticks: int = NEVER_HEARD
    """Ticks since the last contact to a holder."""

    connected_ticks: int = 0
    """Ticks for which contact to a holder has lasted."""

    member_count: int = 0
    """Number of processes by which it divides the limit; 0 before the first report."""

    spent: tuple[int, ...] = (0,) * WINDOW
    """Amounts spent in the current and the previous ticks."""


class ShareWorld(NamedTuple):
    """All processes, and their total spending including that of ended processes."""

    processes: tuple[Process, ...] = (Process(),) * PROCESSES
    spent: tuple[int, ...] = (0,) * WINDOW
