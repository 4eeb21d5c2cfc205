"""Tests of the last check before a request is written."""

from __future__ import annotations

from typing import cast

import pytest

from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import SendNotAllowedError, TargetBackoffError
from swiftpin.notices.send_gate import SendGate
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.permits.rate_report import RateReport
from swiftpin.permits.rate_reports import RateReports
from tests.notices.conftest import NOW


class Directory:
    """Directory in which one target has left."""

    def may_send(self, target_id: str, now: float) -> bool:
        """Return whether requests may be sent to a target."""
        return target_id != "gone"


class Gate:
    """A gate and what it considers."""

    def __init__(self) -> None:
        self.rate_reports = RateReports()
        self.backoffs = TargetBackoffs()
        self.gate = SendGate(
            directory=cast(TargetDirectory, Directory()),
            rate_reports=self.rate_reports,
            backoffs=self.backoffs,
        )


@pytest.fixture(name="gate")
def gate_fixture() -> Gate:
    """Return a gate."""
    return Gate()


def test_target_that_has_left_gets_nothing(gate: Gate) -> None:
    """Guards against requests after the drain time that waited before it ended."""
    gate.gate.check("a", NOW, None)
    with pytest.raises(SendNotAllowedError):
        gate.gate.check("gone", NOW, None)


def test_target_gets_nothing_before_its_backoff_ends(gate: Gate) -> None:
    """Guards against requests that waited for a slot when their target was full."""
    gate.backoffs.record("a", 3.0, NOW)
    with pytest.raises(TargetBackoffError):
        gate.gate.check("a", NOW + 2.99, None)
    gate.gate.check("a", NOW + 3.0, None)


@pytest.mark.parametrize("permit_until", [None, NOW - 0.01])
def test_limited_target_needs_a_valid_permit(
    gate: Gate, permit_until: float | None
) -> None:
    """Guards against requests beyond the rate that a target named meanwhile."""
    report = RateReport(limit=2.0, sent_at=NOW, received_at=NOW)
    gate.rate_reports.add("a", report, NOW, source="answer")
    with pytest.raises(SendNotAllowedError):
        gate.gate.check("a", NOW, permit_until)
    gate.gate.check("a", NOW, NOW + 0.01)
