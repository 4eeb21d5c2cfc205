"""A change of owner."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """Keys `first` to `last`, both included, go from one target to another."""

    first: int
    last: int
    source: str
    to: str
