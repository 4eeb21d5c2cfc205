"""Times of answers, as callers traced them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from swiftpin.result import Executed, executed_by_result
from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.reader import read_traces


def answer_times(paths: Iterable[Path]) -> list[float]:
    """Return when answers of targets came, in monotonic seconds; refusals are none."""
    return [
        event.at
        for event in read_traces(paths)
        if isinstance(event, AnswerEvent)
        and event.result is not None
        and executed_by_result(event.result) is Executed.YES
    ]


def answers_between(times: Iterable[float], start: float, end: float) -> int:
    """Return how many of the times lie from `start` to before `end`.

    Requests that were due in a time but answered after it are not work done in it.
    """
    return sum(start <= at < end for at in times)


def answers_by_second(times: Iterable[float], start: float) -> Counter[int]:
    """Return how many of the times lie in each second after `start`."""
    return Counter(int(at - start) for at in times)
