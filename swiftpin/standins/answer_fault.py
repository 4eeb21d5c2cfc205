"""What becomes of the answer of an execution that is done."""

from __future__ import annotations

from enum import Enum, auto


class AnswerFault(Enum):
    """Send the answer, drop its connection before, or in the middle of it."""

    NONE = auto()
    DROP = auto()
    CUT = auto()
