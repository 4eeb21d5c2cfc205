"""Limits of what a caller may send."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Sizes in bytes, times in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float
