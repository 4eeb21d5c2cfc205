"""Stated limit of what a process logs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, kw_only=True, slots=True)
class LogVolume:
    """Most that a process may hand to its standard output in a second."""

    lines: int
    bytes: int


ROUTER_LOG_VOLUME: Final = LogVolume(lines=3_000, bytes=1_500_000)
"""Room for 400 lines of served requests and 2,000 of failed ones a second, each about
500 bytes, and for a burst of the lines that tell of targets, moves and dependencies."""
