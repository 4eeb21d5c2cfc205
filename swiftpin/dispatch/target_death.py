"""Death of a target as seen by one request that was in flight."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class TargetDeath:
    """`id` is unique to the death; `alone` tells that nothing else was in flight."""

    id: str
    alone: bool
