"""Tests that the platform's wire names occur in the adapter only."""

from __future__ import annotations

from pathlib import Path
import re
from typing import Final

import swiftpin

ROOT: Final = Path(swiftpin.__file__).parent
WIRE_NAMES: Final = re.compile(
    r"Swiftpin-(Request-Id|Deadline-Milliseconds|Upstream-|Expected-|Not-Executed"
    r"|Shard-Key|Handover|Instance-Id)"
    r"|Server-(Limit|Leaving)"
    r"|traffic_split|path_prefix|stability_window|config_apply|target_latency"
    r"|api/(objects|grant|release|readiness)|hold_max|drain_ms|hold_ms"
    r"|[\"'](specification|sharding|warmup_s|cold_ms|internal_ports)[\"']"
    r"|\bupstreams?\b"
)
SHARED_NAMES: Final = {"Swiftpin-Request-Id"}
"""Wire names that also belong to the router's own interface."""

MAX_LINES: Final = 1500


def test_no_wire_name_outside_the_adapter() -> None:
    """A change of the wire format must affect the adapter only."""
    occurrences = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for path in ROOT.rglob("*.py")
        if "platform" not in path.relative_to(ROOT).parts
        for match in WIRE_NAMES.finditer(path.read_text())
        if match[0] not in SHARED_NAMES
    ]
    assert occurrences == []


def test_adapter_is_small_and_decides_nothing() -> None:
    """The adapter contains no loops and no random choices."""
    sources = [path.read_text() for path in (ROOT / "platform").glob("*.py")]
    assert sum(source.count("\n") for source in sources) < MAX_LINES
    for source in sources:
        assert "while True" not in source
        assert "random" not in source
