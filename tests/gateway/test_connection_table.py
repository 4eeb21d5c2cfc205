"""Tests of the decisions on connections whose clients are silent."""

from __future__ import annotations

import pytest

from swiftpin.gateway.connection_table import (
    SETTLING_TIME,
    ConnectionPhase,
    ConnectionTable,
)
from swiftpin.gateway.input_limits import InputLimits

LIMITS = InputLimits(head_timeout=3.0, idle_timeout=15.0)
LATER = SETTLING_TIME + 0.1


@pytest.fixture(name="table")
def table_fixture() -> ConnectionTable[str]:
    """Return a table without connections."""
    return ConnectionTable()


def test_served_connection_is_never_replaced(table: ConnectionTable[str]) -> None:
    """Guards against requests that are cut off in favour of new connections."""
    table.enter("a", ConnectionPhase.SERVING, 0.0)
    assert table.choose_replaced(1000.0) is None
    assert table.find_expired(LIMITS, 1000.0) == []


def test_oldest_silent_connection_is_replaced(table: ConnectionTable[str]) -> None:
    """Guards against silent clients that keep others out."""
    table.enter("kept", ConnectionPhase.IDLE, 0.0)
    table.enter("first", ConnectionPhase.FRESH, 0.1)
    table.enter("second", ConnectionPhase.FRESH, 0.2)
    now = 0.2 + LATER
    assert table.choose_replaced(now) == "first"
    table.leave("first")
    assert table.choose_replaced(now) == "second"
    table.leave("second")
    assert table.choose_replaced(now) == "kept"


def test_new_connection_precedes_idle_ones(table: ConnectionTable[str]) -> None:
    """Guards against callers that are closed before their request was read."""
    table.enter("kept", ConnectionPhase.IDLE, 0.0)
    table.enter("new", ConnectionPhase.FRESH, 0.0)
    assert table.choose_replaced(SETTLING_TIME / 2) == "kept"
    table.leave("kept")
    assert table.choose_replaced(SETTLING_TIME / 2) == "new"


def test_silence_has_a_limit_in_each_phase(table: ConnectionTable[str]) -> None:
    """Guards against connections that stay open without a request."""
    table.enter("fresh", ConnectionPhase.FRESH, 0.0)
    table.enter("head", ConnectionPhase.HEAD, 0.0)
    table.enter("idle", ConnectionPhase.IDLE, 0.0)
    assert table.find_expired(LIMITS, 3.0) == []
    assert table.find_expired(LIMITS, 3.1) == ["head"]
    assert table.find_expired(LIMITS, 15.0) == ["head"]
    assert set(table.find_expired(LIMITS, 15.1)) == {"fresh", "head", "idle"}


def test_phase_starts_anew_with_each_request(table: ConnectionTable[str]) -> None:
    """Guards against a connection closed for time in which it was served."""
    table.enter("a", ConnectionPhase.FRESH, 0.0)
    table.enter("a", ConnectionPhase.SERVING, 14.0)
    table.enter("a", ConnectionPhase.IDLE, 16.0)
    assert table.find_expired(LIMITS, 31.0) == []
    assert table.find_expired(LIMITS, 31.1) == ["a"]


def test_connections_without_a_request_are_not_counted(
    table: ConnectionTable[str],
) -> None:
    """Guards against an instance that withdraws because of silent connections."""
    for phase in ConnectionPhase:
        table.enter(phase.name, phase, 0.0)
    assert table.count_requesting() == 2
