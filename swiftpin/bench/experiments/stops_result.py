"""Result of the experiment on planned stops."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from swiftpin.bench.experiments.judged_trace import JudgedTrace
from swiftpin.bench.load.load_result import LoadResult


class StopWay(StrEnum):
    """How a gateway is told to stop."""

    SIGTERM = "sigterm"
    PLANNED = "planned stop"


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayStop:
    """One planned stop of a gateway.

    `in_flight` requests were being served just before the signal or the order;
    `seconds` pass from then to the end of the process.
    """

    name: str
    way: StopWay
    in_flight: int
    seconds: float
    exit_code: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetStop:
    """One planned stop of a target.

    Times in seconds from the accepted order: `empty_after` until the records gave it
    no slices and it was idle, `last_start_after` until it last began a request, None
    if it began none. `late_starts` counts those after the limit for new work.
    """

    name: str
    empty_after: float
    starts: int
    last_start_after: float | None
    late_starts: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StopsResult:
    """Everything that must be 0 first, then what it took.

    `cut_off` counts answers that were not whole and tries whose connection broke or
    ran out of time, by error in `broken_by_error`. `refused` counts answers by which
    swiftpin turned a request away or could not tell, by result code in
    `refused_by_result`: every request of the load was in order. `refused_at_rest`
    counts those of the `seconds_at_rest` in which nothing was stopped; they cannot
    come from a stop. `doubled` counts
    bookings that ran twice, `late_starts` the requests begun by targets more than
    `new_work_limit` seconds after their order, `left_open` requests without any
    answer in the end.
    """

    cut_off: int
    refused: int
    doubled: int
    late_starts: int
    left_open: int
    new_work_limit: float
    broken_by_error: dict[str, int]
    refused_by_result: dict[str, int]
    cut_executions: int
    refused_at_rest: int
    seconds_at_rest: float
    seconds: float
    gateways: list[GatewayStop]
    targets: list[TargetStop]
    load: LoadResult
    judgements: list[JudgedTrace]
