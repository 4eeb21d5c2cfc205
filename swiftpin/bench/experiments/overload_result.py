"""Result of the overload experiment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.bench.experiments.overload_contender import OverloadContender
from swiftpin.bench.load.load_result import LoadResult

CLASS_BOOKING: Final = "booking"
CLASS_LOOKUP: Final = "lookup"
OVERLOAD_FROM: Final = 2.0
"""Factor from which on the offered load certainly keeps every slot busy."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OverloadPoint:
    """One contender at `factor` times the capacity.

    `goodput` is answers in time a second, by when they came; `goodput_share` relates
    it to the capacity. `busiest_entry` is in processor cores. `load` has the classes.
    """

    contender: OverloadContender
    factor: float
    goodput: float
    goodput_share: float
    busiest_entry: float
    load: LoadResult

    def answered_share(self, class_name: str) -> float:
        """Return the share of a class's requests that were answered."""
        result = self.load.classes_by_name[class_name]
        return result.answered / max(result.scheduled, 1)


@dataclass(frozen=True, kw_only=True, slots=True)
class OverloadBurst:
    """A steady load, and a burst from `burst_from` to `burst_until` seconds.

    Callers send each request again until it is answered. `answers_by_second` counts
    answers from the start of the steady load. `steady_rate` and `burst_rate` are
    requests a second; during the burst both come. `goodput_after` is answers a second
    in the last seconds of the load, when a burst that left no harm has been worked
    off, and `goodput_after_share` its share of the steady rate. `unanswered` requests
    had no answer in the end.
    """

    contender: OverloadContender
    steady_rate: float
    burst_rate: float
    burst_from: float
    burst_until: float
    answers_by_second: list[int]
    goodput_after: float
    goodput_after_share: float
    unanswered: int
    longest_answer_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OverloadGoals:
    """What swiftpin reached.

    `least_goodput_share` is over all factors from 2 on. `bookings_answered_share` is
    the least at the factors at which the bookings alone fit the capacity.
    `lookup_p99_ratio` is the largest p99 of answered lookups over that at the lowest
    factor.
    """

    least_goodput_share: float
    bookings_answered_share: float
    lookup_p99_ratio: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OverloadResult:
    """All points and bursts; `capacity` is in requests a second."""

    capacity: float
    targets: int
    slots: int
    work_ms: float
    gateways: int
    deadline_ms: int
    goals: OverloadGoals
    points: list[OverloadPoint]
    bursts: list[OverloadBurst]


def reached_goals(
    points: list[OverloadPoint], *, booking_share: float
) -> OverloadGoals:
    """Return what swiftpin's points show; there is one at each factor."""
    own = sorted(
        (item for item in points if item.contender is OverloadContender.SWIFTPIN),
        key=lambda item: item.factor,
    )
    lookup_p99s = [item.load.classes_by_name[CLASS_LOOKUP].p99_ms for item in own]
    fitting = [item for item in own if item.factor * booking_share < 1.0]
    return OverloadGoals(
        least_goodput_share=min(
            item.goodput_share for item in own if item.factor >= OVERLOAD_FROM
        ),
        bookings_answered_share=min(
            item.answered_share(CLASS_BOOKING) for item in fitting
        ),
        lookup_p99_ratio=max(lookup_p99s) / lookup_p99s[0],
    )
