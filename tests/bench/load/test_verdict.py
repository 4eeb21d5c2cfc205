"""Tests of what callers make of answers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from swiftpin.bench.load.try_answer import TryAnswer
from swiftpin.bench.load.verdict import Verdict, judge
from swiftpin.result import Executed

ANSWER = TryAnswer(
    status=200,
    result=100,
    executed=Executed.YES,
    request_id="r",
    body_digest="d",
    whole=True,
    sent=1.0,
    at=2.0,
)


@pytest.mark.parametrize(
    ("result", "verdict"),
    [
        (100, Verdict.ANSWERED),
        (101, Verdict.ANSWERED),
        (207, Verdict.REFUSED),
        (300, Verdict.RETRY),
        (401, Verdict.RETRY),
        (402, Verdict.UNKNOWN),
        (500, Verdict.RETRY),
    ],
)
def test_result_code_decides(result: int, verdict: Verdict) -> None:
    """Only answers and callers' mistakes end a request at once."""
    assert judge(replace(ANSWER, result=result)) is verdict


def test_half_an_answer_is_none() -> None:
    """An answer cut short is asked for again."""
    assert judge(replace(ANSWER, whole=False)) is Verdict.RETRY


def test_status_decides_without_result_code() -> None:
    """The bare proxy sets no result code."""
    assert judge(replace(ANSWER, result=None)) is Verdict.ANSWERED
    assert judge(replace(ANSWER, result=None, status=502)) is Verdict.RETRY
