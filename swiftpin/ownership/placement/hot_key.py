"""A key with much load."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class HotKey:
    """A key's load in slots, at least `load` and at most `load_at_most`."""

    key: str
    load: float
    load_at_most: float
