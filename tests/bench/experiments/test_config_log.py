"""Tests of reading adoptions from logs."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

from swiftpin.bench.experiments.config_adoption import Adoption
from swiftpin.bench.experiments.config_log import read_adoptions

LINES = (
    "time=2026-12-02T18:00:00.250Z level=info event=config_adopted "
    "config=profile/desk generation=3 retired=false\n"
    "time=2026-12-02T18:00:01.000Z level=info event=instance_ready instance=gw-1/ab\n"
)
BROKEN_LINE = "time=2026-12-02T18:00:02.000Z level=info event=config_adopted config=pro"


def test_adoptions_are_read_with_their_times(tmp_path: Path) -> None:
    """Other events, and a last line still being written, are passed over."""
    path = tmp_path / "gw-1.log"
    path.write_text(LINES + BROKEN_LINE)
    moment = datetime(2026, 12, 2, 18, 0, 0, 250_000, tzinfo=UTC)
    assert read_adoptions(path) == [
        Adoption(label="profile/desk", generation=3, at=moment.timestamp())
    ]
