"""Limits on the requests that callers send."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Maximum sizes in bytes and timeouts in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float
