"""Tests of the reports of load."""

from __future__ import annotations

import pytest

from swiftpin.router.load_reports import REPORT_PAUSE, REPORTERS, report_pause


@pytest.mark.parametrize("members", [1, 8, 36, 72, 300, 7000])
def test_reports_to_the_assigner_have_a_bound(members: int) -> None:
    """Symptom: the assigner of a large fleet was busy with reports.

    Sequence: 72 instances reported their load five times a second each. Cause: the pace
    of one instance did not depend on how many there are.
    """
    assert members / report_pause(members) <= REPORTERS / REPORT_PAUSE
    assert report_pause(members) >= REPORT_PAUSE
