"""Tests of what the overload experiment makes of its figures."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from swiftpin.bench.experiments.overload_answers import (
    answer_times,
    answers_between,
    answers_by_second,
)
from swiftpin.bench.experiments.overload_contender import OverloadContender
from swiftpin.bench.experiments.overload_result import OverloadPoint, reached_goals
from swiftpin.bench.load.class_result import ClassResult
from swiftpin.bench.load.load_result import LoadResult
from swiftpin.bench.load.spell_summary import summarize_spells
from swiftpin.result import Executed, ResultCode
from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.writer import TraceWriter

BOOKING_SHARE = 0.15


@pytest.fixture
def point() -> OverloadPoint:
    """Return a point of swiftpin at half the capacity, all answered."""
    nothing = summarize_spells({})
    result = ClassResult(
        scheduled=100,
        answered=100,
        refused=0,
        unknown=0,
        unanswered=0,
        tries_by_result={},
        p50_ms=10.0,
        p99_ms=20.0,
        max_ms=30.0,
        unserved=nothing,
    )
    return OverloadPoint(
        contender=OverloadContender.SWIFTPIN,
        factor=0.5,
        goodput=100.0,
        goodput_share=0.5,
        busiest_entry=0.1,
        load=LoadResult(
            measured_seconds=1.0,
            scheduled=200,
            answered=200,
            rate=200.0,
            p50_ms=10.0,
            p99_ms=20.0,
            max_ms=30.0,
            send_lag_p99_ms=1.0,
            busiest_worker=0.1,
            unserved=nothing,
            classes_by_name={"lookup": result, "booking": result},
        ),
    )


def with_class(point: OverloadPoint, name: str, result: ClassResult) -> OverloadPoint:
    """Return the point with another result of one class."""
    classes = {**point.load.classes_by_name, name: result}
    return replace(point, load=replace(point.load, classes_by_name=classes))


def test_goals_look_at_swiftpin_under_overload(point: OverloadPoint) -> None:
    """Neither a baseline's collapse nor a light load lowers the goodput's share."""
    points = [
        point,
        replace(point, factor=2.0, goodput_share=0.97),
        replace(point, factor=5.0, goodput_share=0.96),
        replace(
            point,
            contender=OverloadContender.ROUND_ROBIN,
            factor=5.0,
            goodput_share=0.0,
        ),
    ]
    goals = reached_goals(points, booking_share=BOOKING_SHARE)
    assert goals.least_goodput_share == pytest.approx(0.96)


def test_bookings_are_judged_while_they_fit(point: OverloadPoint) -> None:
    """At ten times the capacity the bookings alone are too many."""
    lookups = point.load.classes_by_name["lookup"]
    fits = with_class(point, "booking", replace(lookups, answered=99))
    too_many = with_class(point, "booking", replace(lookups, answered=60))
    points = [
        point,
        replace(fits, factor=5.0),
        replace(too_many, factor=10.0),
    ]
    goals = reached_goals(points, booking_share=BOOKING_SHARE)
    assert goals.bookings_answered_share == pytest.approx(0.99)


def test_lookups_are_related_to_the_lightest_load(point: OverloadPoint) -> None:
    """The slowest answered lookups at any factor count."""
    lookups = point.load.classes_by_name["lookup"]
    slow = with_class(point, "lookup", replace(lookups, p99_ms=50.0))
    goals = reached_goals(
        [replace(slow, factor=2.0), point], booking_share=BOOKING_SHARE
    )
    assert goals.lookup_p99_ratio == pytest.approx(2.5)


def test_only_answers_of_targets_count(tmp_path: Path) -> None:
    """Refusals are answers too, but nobody is served by them."""
    path = tmp_path / "load.trace"
    writer = TraceWriter(path)
    for result, at in (
        (ResultCode.ANSWERED, 10.5),
        (ResultCode.QUEUE_FULL, 10.6),
        (ResultCode.REPLAYED, 12.1),
    ):
        writer.write(
            AnswerEvent(
                request_id="r",
                service="desk",
                key="k",
                idempotency_key=None,
                request_class="lookup",
                status=200,
                result=int(result),
                executed=Executed.UNKNOWN,
                body_digest=None,
                whole=True,
                sent=10.0,
                at=at,
            )
        )
    writer.close()
    assert answer_times([path]) == [10.5, 12.1]


def test_answers_are_counted_by_when_they_came() -> None:
    """The end of a time belongs to the next one."""
    times = [10.0, 10.9, 11.0, 12.5]
    assert answers_between(times, 10.0, 11.0) == 2
    assert answers_by_second(times, 10.0) == {0: 2, 1: 1, 2: 1}
