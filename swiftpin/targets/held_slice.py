"""A slice that a target holds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldSlice:
    """Slice, its term and the limit of its grant on the target's clock (seconds)."""

    slice_id: int
    term: int
    expires_at: float
