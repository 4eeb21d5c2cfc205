"""Bounds on what experiments may start on one machine."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
import os
from typing import Final

from swiftpin.bench.exceptions import ProcessLimitError
from swiftpin.bench.processes.usage import PAGE_SIZE, read_usage

MAX_PROCESSES: Final = 300
MEMORY_SHARE: Final = 0.5
EXPECTED_RESIDENT: Final = 96 * 1024 * 1024
"""Memory allowed for the process about to start, in bytes."""


def memory_limit() -> int:
    """Return how much memory the started processes may use together, in bytes."""
    total = os.sysconf("SC_PHYS_PAGES") * PAGE_SIZE
    return int(total * MEMORY_SHARE)


def resident_of(pids: Iterable[int]) -> int:
    """Return the resident memory of the processes that still exist, in bytes."""
    resident = 0
    for pid in pids:
        with suppress(FileNotFoundError, ProcessLookupError):
            resident += read_usage(pid).resident
    return resident


def check_limits(pids: list[int]) -> None:
    """Raise `ProcessLimitError` unless one more process may start beside these."""
    if len(pids) >= MAX_PROCESSES:
        raise ProcessLimitError(f"{len(pids)} processes run already")
    expected = resident_of(pids) + EXPECTED_RESIDENT
    if expected > memory_limit():
        raise ProcessLimitError(f"{expected} bytes are more than half of the memory")
