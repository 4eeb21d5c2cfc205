"""Tests of the bounds on what experiments start."""

from __future__ import annotations

import os

import pytest

from swiftpin.bench.exceptions import ProcessLimitError
from swiftpin.bench.processes import limits


def test_few_processes_are_allowed() -> None:
    """One small process is within every limit."""
    limits.check_limits([os.getpid()])


def test_number_of_processes_is_bounded() -> None:
    """The 301st process is refused."""
    with pytest.raises(ProcessLimitError, match="300 processes"):
        limits.check_limits([0] * limits.MAX_PROCESSES)


def test_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """A start that would pass half of the memory is refused."""
    monkeypatch.setattr(limits, "memory_limit", lambda: limits.EXPECTED_RESIDENT)
    with pytest.raises(ProcessLimitError, match="half of the memory"):
        limits.check_limits([os.getpid()])


def test_ended_processes_use_no_memory() -> None:
    """A process that is gone does not count."""
    assert limits.resident_of([2**22 + 1]) == 0
