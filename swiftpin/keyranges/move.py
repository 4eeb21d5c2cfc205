"""A move of keys from one target to another."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """A move of the keys `first` to `last`, inclusive, from `source` to `to`."""

    first: int
    last: int
    source: str
    to: str
