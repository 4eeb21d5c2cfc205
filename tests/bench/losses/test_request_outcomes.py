"""Tests of counting outcomes in logs."""

from __future__ import annotations

from swiftpin.bench.losses.request_outcomes import count_outcomes

LOG = """
  1.0 front-1 time=x level=info event=request request_id=1 status=200 outcome=served a=1
  1.1 front-1 time=x level=info event=request request_id=2 status=503 outcome=NO_OWNER
  1.2 front-1 time=x level=info event=request_refused outcome=none
played in 3 s
"""


def test_requests_are_counted_by_outcome() -> None:
    """Other lines of the log are passed over."""
    assert count_outcomes(LOG.splitlines()) == {"served": 1, "NO_OWNER": 1}
