"""What the model of shares keeps."""

from __future__ import annotations

from typing import Final, NamedTuple

PROCESSES: Final = 3
WINDOW: Final = 2
"""Ticks in the window of the limit."""

MAX_GAP: Final = 1
"""Ticks without a holder after which a process is cut off."""

TELL_TIME: Final = MAX_GAP + 1
SETTLED: Final = WINDOW + TELL_TIME
LIMIT: Final = 6
"""What all processes together may spend within a window."""

NOT_HEARD: Final = MAX_GAP + 1


class Process(NamedTuple):
    """One process of an instance."""

    is_linked: bool = False
    gap: int = NOT_HEARD
    """Ticks since it heard a holder."""

    touch: int = 0
    """Ticks for which it has been in touch."""

    told: int = 0
    """Count of members that it goes by."""

    spent: tuple[int, ...] = (0,) * WINDOW
    """What it spent in this tick and the ones before it."""


class ShareWorld(NamedTuple):
    """All processes, and what they spent together, those that ended included."""

    processes: tuple[Process, ...] = (Process(),) * PROCESSES
    spent: tuple[int, ...] = (0,) * WINDOW
