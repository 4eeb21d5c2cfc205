"""Result of the faults experiment."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.experiments.faults_bookings import BookingsSummary
from swiftpin.bench.experiments.judged_trace import JudgedTrace
from swiftpin.bench.load.load_result import LoadResult


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultsRun:
    """One seed at one site.

    `schedule` lists the episodes as text, each after its time in seconds; `skipped`
    counts those that met a target which had just crashed. `target_crashes` counts
    targets that a request crashed. `unexpected_ends` tells of processes that ended
    though nobody killed them. `unserved` times in `load` are in seconds.
    """

    seed: int
    site: str
    schedule: tuple[str, ...]
    skipped: int
    target_crashes: int
    crash_tries_by_result: dict[str, int]
    unexpected_ends: tuple[str, ...]
    load: LoadResult
    bookings: BookingsSummary
    judgements: list[JudgedTrace]

    @property
    def violations(self) -> int:
        """Return how much the trace checker found wrong."""
        return sum(item.violations for item in self.judgements)


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultsTotals:
    """Sums over all runs.

    `violations_by_judgement` and `judged_by_judgement` are the trace checker's. Of
    all requests `unanswered` had no answer when the run ended.
    """

    runs: int
    episodes: int
    requests: int
    unanswered: int
    bookings: int
    bookings_unknown: int
    bookings_unknown_share: float
    bookings_unanswered: int
    unexpected_ends: int
    judged_by_judgement: dict[str, int]
    violations_by_judgement: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultsResult:
    """Load at `rate` requests a second for `duration` seconds at each run."""

    gateways: int
    rate: float
    duration: float
    totals: FaultsTotals
    runs: list[FaultsRun]


def sum_runs(runs: list[FaultsRun]) -> FaultsTotals:
    """Return the sums over the runs."""
    judged: dict[str, int] = {}
    violations: dict[str, int] = {}
    for item in (item for run in runs for item in run.judgements):
        judged[item.judgement] = judged.get(item.judgement, 0) + item.judged
        violations[item.judgement] = violations.get(item.judgement, 0) + item.violations
    bookings = sum(run.bookings.scheduled for run in runs)
    unknown = sum(run.bookings.unknown for run in runs)
    classes = [item for run in runs for item in run.load.classes_by_name.values()]
    return FaultsTotals(
        runs=len(runs),
        episodes=sum(len(run.schedule) for run in runs),
        requests=sum(item.scheduled for item in classes),
        unanswered=sum(item.unanswered for item in classes),
        bookings=bookings,
        bookings_unknown=unknown,
        bookings_unknown_share=unknown / max(bookings, 1),
        bookings_unanswered=sum(run.bookings.unanswered for run in runs),
        unexpected_ends=sum(len(run.unexpected_ends) for run in runs),
        judged_by_judgement=judged,
        violations_by_judgement=violations,
    )
