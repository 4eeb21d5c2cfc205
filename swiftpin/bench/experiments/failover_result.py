"""Result of the failover experiment."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.experiments.judged_trace import JudgedTrace
from swiftpin.bench.load.load_result import LoadResult


@dataclass(frozen=True, kw_only=True, slots=True)
class ScenarioResult:
    """One run of one scenario.

    `fault_from` and `fault_until` are seconds since the load's start, first and last
    step. Unserved times are in `load`, in seconds. `calls_at_rest` and
    `calls_after_fault` are the store's calls a second, before the first fault under
    load and from it to the end of the load; in an outage the store counts no calls.
    """

    scenario: str
    repeat: int
    gateway: str
    target: str
    fault_from: float
    fault_until: float
    calls_at_rest: float
    calls_after_fault: float
    writes_after_fault: float
    load: LoadResult
    judgements: list[JudgedTrace]


@dataclass(frozen=True, kw_only=True, slots=True)
class FailoverResult:
    """All runs; `rate` is the load's requests a second over `keys` keys."""

    gateways: int
    targets: int
    groups: int
    rate: float
    keys: int
    runs: list[ScenarioResult]
