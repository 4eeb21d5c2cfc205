"""Trace event: slices became held."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from swiftpin.trace.slice_term import SliceTerm


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnedEvent:
    """A target holds the slices from `at` (monotonic seconds) on.

    `term` is the group's term. A slice that is held already may come again with a
    higher slice term.
    """

    kind: Literal["owned"] = "owned"
    target: str
    boot_id: str
    service: str
    group: int
    slices: tuple[SliceTerm, ...]
    term: int
    at: float
