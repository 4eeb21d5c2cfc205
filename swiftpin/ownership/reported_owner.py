"""A slice that a target reported to hold."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportedOwner:
    """The target holds the slice under the slice term `term`."""

    slice_id: int
    target: str
    term: int
