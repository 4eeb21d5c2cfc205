"""What must hold in every state of a fenced group."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Final

from spec.fenced.fault import (
    DONE_WRITE_LOST,
    MOVE_NOT_RECORDED,
    RECORD_WENT_BACK,
    SLICE_TERM_FELL,
)
from spec.fenced.target import OWNER, STANDBY, Target

State = Mapping[str, Any]


def one_owner(state: State) -> bool:
    """Return whether at most one target would execute for the slice."""
    return owners(state["targets"], state["ghost"]) <= 1


def owners(targets: tuple[Target, ...], ghost: int) -> int:
    """Return how many targets, and earlier starts of one, would execute."""
    held = (targets[OWNER].held, targets[STANDBY].held, ghost)
    return sum(ticks > 0 for ticks in held)


def slice_terms_grow(state: State) -> bool:
    """Return whether slice terms only grew over successive owners."""
    return not state["faults"] & SLICE_TERM_FELL


def terms_grow(state: State) -> bool:
    """Return whether the record's (term, revision) never went back."""
    return not state["faults"] & RECORD_WENT_BACK


def done_writes_stay(state: State) -> bool:
    """Return whether later records built on each write known to its writer as done."""
    return not state["faults"] & DONE_WRITE_LOST


def record_first(state: State) -> bool:
    """Return whether planned moves were in the record before the new owner's grant."""
    return not state["faults"] & MOVE_NOT_RECORDED


INVARIANTS: Final[Mapping[str, Callable[[State], bool]]] = {
    "one_owner": one_owner,
    "slice_terms_grow": slice_terms_grow,
    "terms_grow": terms_grow,
    "done_writes_stay": done_writes_stay,
    "record_first": record_first,
}
