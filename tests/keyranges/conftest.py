"""Shared fixtures for the key range tests."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from eliot import add_destinations, remove_destination
import pytest

from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.keyranges import lease_election as lease_module
from swiftpin.keyranges import lease_store as lease_store_module
from swiftpin.keyranges.target_sessions import TargetSessions


@pytest.fixture(name="lines")
def lines_fixture() -> Iterator[list[dict[str, Any]]]:
    """Return the log lines that are written during a test."""
    lines: list[dict[str, Any]] = []
    # The first destination also receives earlier buffered lines, which are dropped.
    add_destinations(lines.append)
    lines.clear()
    yield lines
    remove_destination(lines.append)


@pytest.fixture(name="sessions")
def sessions_fixture(directory: TargetDirectory) -> TargetSessions:
    """Return the sessions with the targets in the module's directory."""
    return TargetSessions(directory)


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Return the current time."""
        return self.now


@pytest.fixture(name="clock")
def clock_fixture(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return the clock that the lease modules use."""
    clock = Clock()
    for module in (lease_module, lease_store_module):
        monkeypatch.setattr(module, "suspend_aware_now", clock)
    return clock
