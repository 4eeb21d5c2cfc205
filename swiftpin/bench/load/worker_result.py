"""What one worker of the load generator found."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.bench.load.class_tally import ClassTally


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerResult:
    """Tallies by class, and how well the worker itself kept up.

    `send_lag` is an encoded `LatencyHistogram` of the time from when a request was
    due until its first try was sent; `cpu` the worker's processor seconds.
    `spells_by_key` are unserved times over all classes.
    """

    index: int
    started: float
    measured_seconds: float
    cpu: float
    send_lag: str
    tallies_by_class: dict[str, ClassTally] = field(default_factory=dict)
    spells_by_key: dict[str, list[float]] = field(default_factory=dict)
