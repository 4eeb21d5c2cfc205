"""Result of one run of the load generator."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.load.class_result import ClassResult
from swiftpin.bench.load.spell_summary import SpellSummary


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadResult:
    """Totals over all workers.

    `rate` is answered requests a second. Latencies are in milliseconds, from when a
    request was due. `send_lag_p99_ms` and `busiest_worker` (processor seconds a
    second, 1.0 is a whole core) tell whether the generator itself kept up.
    """

    measured_seconds: float
    scheduled: int
    answered: int
    rate: float
    p50_ms: float
    p99_ms: float
    max_ms: float
    send_lag_p99_ms: float
    busiest_worker: float
    unserved: SpellSummary
    classes_by_name: dict[str, ClassResult]
