"""Shared fixtures of the tests of key ranges."""

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
    """Return the log lines that are written while a test runs."""
    lines: list[dict[str, Any]] = []
    # A first destination also gets what was kept before; that is not this test's.
    add_destinations(lines.append)
    lines.clear()
    yield lines
    remove_destination(lines.append)


@pytest.fixture(name="sessions")
def sessions_fixture(directory: TargetDirectory) -> TargetSessions:
    """Return the sessions with a module's directory's targets."""
    return TargetSessions(directory)


class Clock:
    """Time that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Return the present time."""
        return self.now


@pytest.fixture(name="clock")
def clock_fixture(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return the clock of the leases."""
    clock = Clock()
    for module in (lease_module, lease_store_module):
        monkeypatch.setattr(module, "suspend_aware_now", clock)
    return clock
