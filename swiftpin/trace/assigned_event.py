"""Trace event: a group's record was written."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, kw_only=True, slots=True)
class AssignedEvent:
    """An instance knows that its write of the record took effect.

    `targets` maps a target to its slices; None when the writer left it out.
    `at` is in monotonic seconds.
    """

    kind: Literal["assigned"] = "assigned"
    instance: str
    service: str
    group: int
    term: int
    revision: int
    targets: dict[str, tuple[int, ...]] | None
    at: float
