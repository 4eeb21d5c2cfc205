"""Reads from gateways' logs when they put declarations in force."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Final

from swiftpin.bench.experiments.config_adoption import Adoption

EVENT_ADOPTED: Final = "config_adopted"


def read_adoptions(path: Path) -> list[Adoption]:
    """Return the adoptions in a log, in its order; times have milliseconds."""
    with path.open(encoding="utf-8", errors="replace") as lines:
        return list(_adoptions(lines))


def _adoptions(lines: Iterator[str]) -> Iterator[Adoption]:
    """Yield the adoptions among the lines."""
    for line in lines:
        if f"event={EVENT_ADOPTED} " not in line or not line.endswith("\n"):
            continue
        values_by_key = dict(pair.split("=", 1) for pair in line.split())
        yield Adoption(
            label=values_by_key["config"],
            generation=int(values_by_key["generation"]),
            at=datetime.fromisoformat(values_by_key["time"]).timestamp(),
        )
