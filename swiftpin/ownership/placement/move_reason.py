"""Why a slice moves."""

from __future__ import annotations

from enum import StrEnum


class MoveReason(StrEnum):
    """Reason of a move, as the decision log names it."""

    INITIAL = "initial"
    LOAD = "load"
    LOSS = "loss"
    JOIN = "join"
    LEAVE = "leave"
