"""One measurement of the pass-through experiment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Contender(StrEnum):
    """What is measured."""

    BARE = "bare"
    GATEWAY = "gateway"


class Phase(StrEnum):
    """How it is loaded: to its limit, or steadily below it."""

    LIMIT = "limit"
    STEADY = "steady"


@dataclass(frozen=True, kw_only=True, slots=True)
class PassthroughSample:
    """Figures of one contender in one phase of one repeat.

    `cpu_ms` is the contender's processor time a request, `cores` its processor
    seconds a second. `busiest_worker` and `busiest_target` (cores) tell whether
    something else was the bottleneck.
    """

    contender: Contender
    phase: Phase
    repeat: int
    rate: float
    p50_ms: float
    p99_ms: float
    cpu_ms: float
    cores: float
    failed: int
    busiest_worker: float
    busiest_target: float
    send_lag_p99_ms: float
