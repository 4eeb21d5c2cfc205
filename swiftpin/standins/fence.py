"""Who may grant slices of a group at a target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Fence:
    """The highest term that a target knows for a group, and its holder."""

    term: int = 0
    holder: str = ""
