"""Result of one class of load over all workers."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.load.spell_summary import SpellSummary


@dataclass(frozen=True, kw_only=True, slots=True)
class ClassResult:
    """Counts as in `ClassTally`; latencies in milliseconds, from when it was due."""

    scheduled: int
    answered: int
    refused: int
    unknown: int
    unanswered: int
    tries_by_result: dict[str, int]
    p50_ms: float
    p99_ms: float
    max_ms: float
    unserved: SpellSummary
