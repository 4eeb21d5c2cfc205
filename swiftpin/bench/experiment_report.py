"""Result of an experiment with what is needed to read it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from swiftpin.bench.machine_facts import MachineFacts


@dataclass(frozen=True, kw_only=True, slots=True)
class ExperimentReport:
    """One run; `started_at` is UTC in ISO form, `seconds` how long it took."""

    experiment: str
    seed: int
    quick: bool
    started_at: str
    seconds: float
    machine: MachineFacts
    result: Any
