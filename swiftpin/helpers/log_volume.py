"""Limit for the log output of a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, kw_only=True, slots=True)
class LogVolume:
    """Maximum log output of a process per second."""

    lines: int
    bytes: int


ROUTER_LOG_VOLUME: Final = LogVolume(lines=3_000, bytes=1_500_000)
"""Enough per second for 400 lines of served and 2,000 lines of failed requests,
about 500 bytes each, and a burst of lines on targets, moves and dependencies."""
