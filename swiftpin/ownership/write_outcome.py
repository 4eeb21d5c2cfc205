"""What a holder may do after a write of its record."""

from __future__ import annotations

from enum import Enum, auto


class WriteOutcome(Enum):
    """Whether the version is in force.

    SAVED: it is. UNSETTLED: the store cannot be reached, so that a fenced group may
    act without it. SUPERSEDED: the record is another one by now, and what was decided
    on the former must be decided again.
    """

    SAVED = auto()
    UNSETTLED = auto()
    SUPERSEDED = auto()
