"""Reference from a journal's head page to one of its other pages."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ArchiveRef:
    """A page of final records; `newest_at` is its newest record's wall time in ms."""

    name: str
    newest_at: int
