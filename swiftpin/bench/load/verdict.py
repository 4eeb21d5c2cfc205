"""What a caller makes of an answer."""

from __future__ import annotations

from enum import Enum, auto
from http import HTTPStatus
from typing import Final

from swiftpin.bench.load.try_answer import TryAnswer
from swiftpin.result import ResultCode

RESULTS_PER_FAMILY: Final = 100


class Verdict(Enum):
    """End of a request, or the need to try again."""

    ANSWERED = auto()
    REFUSED = auto()
    UNKNOWN = auto()
    RETRY = auto()


def judge(answer: TryAnswer) -> Verdict:
    """Return what the answer means for its request."""
    if not answer.whole:
        return Verdict.RETRY
    if answer.result is None:
        done = answer.status == HTTPStatus.OK
        return Verdict.ANSWERED if done else Verdict.RETRY
    match answer.result // RESULTS_PER_FAMILY:
        case 1:
            return Verdict.ANSWERED
        case 2:
            return Verdict.REFUSED
        case _ if answer.result == ResultCode.OUTCOME_UNKNOWN:
            return Verdict.UNKNOWN
        case _:
            return Verdict.RETRY
