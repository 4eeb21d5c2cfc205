"""A final record that waits in the head page for its move to a page of its own."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class FinalLine:
    """Stored form of a record with an outcome; `changed_at` is wall time in ms."""

    line: bytes
    changed_at: int
