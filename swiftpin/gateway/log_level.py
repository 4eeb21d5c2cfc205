"""How much the daemon logs."""

from __future__ import annotations

from enum import StrEnum


class LogLevel(StrEnum):
    """Lowest level of the lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
