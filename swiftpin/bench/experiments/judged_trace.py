"""Verdicts on a run's traces, in a form for results."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from swiftpin.trace.checker import check_trace
from swiftpin.trace.reader import read_traces

SHOWN_VIOLATIONS: Final = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class JudgedTrace:
    """One judgement: how much was looked at and what was wrong.

    `first` are the first few violations as text.
    """

    judgement: str
    judged: int
    violations: int
    first: tuple[str, ...]


def judge_traces(paths: Iterable[Path]) -> list[JudgedTrace]:
    """Return the judgements on the traces of all processes of a run."""
    verdicts = check_trace(read_traces(paths)).values()
    return [
        JudgedTrace(
            judgement=verdict.judgement.value,
            judged=verdict.judged,
            violations=len(verdict.violations),
            first=tuple(str(item) for item in verdict.violations[:SHOWN_VIOLATIONS]),
        )
        for verdict in verdicts
    ]
